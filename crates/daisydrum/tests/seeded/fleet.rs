//! Fleets of the daemon under test.

use std::path::Path;

use soak::fleet::Links;
pub use soak::fleet::{Fleet, Start, until};

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_daisydrum"))
}

/// Settings of a fleet of which nothing runs yet.
pub fn new(name: &str) -> Fleet {
    Fleet::new(binary(), name, Links::Direct)
}

/// Three control instances and one that serves callers.
pub fn start(name: &str) -> Fleet {
    Fleet::start(binary(), name)
}
