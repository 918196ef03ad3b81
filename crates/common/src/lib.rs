//! Names, time, collections, rings and cancellation shared by every crate.

pub mod cancel;
pub mod clock;
pub mod collections;
pub mod name;
pub mod ring;
pub mod role;
