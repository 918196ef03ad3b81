//! Starts real daemons for tests, sends them signals and waits for conditions.
//!
//! A step that fails panics, which fails the test.

pub mod address;
pub mod cluster;
pub mod daemon;
pub mod folder;
pub mod tree;
pub mod wait;
