//! Fleets of the daemon under test.

use std::path::Path;

use soak::fleet::Links;
pub use soak::fleet::{Daemon, Fleet, Start, until};

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_daisydrum"))
}

/// Creates a fleet that has no instances yet.
pub fn new(name: &str) -> Fleet {
    Fleet::new(binary(), name, Links::Direct)
}

/// Starts three control instances and one entry instance.
pub fn start(name: &str) -> Fleet {
    Fleet::start(binary(), name)
}
