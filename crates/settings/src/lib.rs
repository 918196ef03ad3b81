//! Settings files of instances and the tree of service settings: parsing, validation, inheritance and differences.

pub mod check;
pub mod delta;
pub mod diff;
pub mod document;
pub mod effective;
pub mod error;
pub mod instance;
pub mod key;
pub mod reference;
pub mod schema;
pub mod seeded;
pub mod service;
pub mod text;
pub mod tree;
pub mod unit;
