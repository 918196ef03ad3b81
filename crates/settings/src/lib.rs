//! The instance file and the tree of settings: parsing, checks, inheritance and differences.

pub mod document;
pub mod error;
pub mod instance;
pub mod key;
pub mod service;
pub mod tree;
