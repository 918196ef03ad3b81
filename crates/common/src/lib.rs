//! Names, time, collections, rings, random numbers and cancellation, shared by all crates.

pub mod cancel;
pub mod clock;
pub mod collections;
pub mod name;
pub mod piece;
pub mod random;
pub mod ring;
pub mod role;
