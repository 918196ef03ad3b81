//! `daisyctl hash-key`: the hash of a caller's key.

use std::io;

use settings::key::Hash;

use crate::{error::Error, output};

/// Reads a key from standard input, so that it stays out of the shell's history, and prints its hash.
///
/// # Errors
///
/// Returns an [`Error`] when there is no key.
pub fn run() -> Result<(), Error> {
    let mut line = String::new();
    let read = io::stdin().read_line(&mut line);
    read.map_err(|cause| Error::File { path: String::from("standard input"), cause })?;
    let key = line.trim_end_matches(['\n', '\r']);
    if key.is_empty() {
        return Err(Error::Usage { problem: String::from("expected a key on standard input") });
    }
    output::text(&format!("{}\n", Hash::of(key)));
    Ok(())
}
