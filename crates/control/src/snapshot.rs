//! The encoded form of a state.

use derive_more::{Display, Error, From};

use crate::state::State;

/// Version of the encoding; the first byte.
pub const VERSION: u8 = 1;

/// Why a snapshot can't be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// There is nothing.
    #[display("snapshot is empty")]
    Empty,
    /// Another version of the program wrote it.
    #[display("snapshot has encoding {_0}, expected {VERSION}")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The bytes are no state.
    #[display("snapshot: {_0}")]
    Postcard(postcard::Error),
}

/// Encodes a state.
pub fn encode(state: &State) -> Vec<u8> {
    postcard::to_extend(state, vec![VERSION]).expect("invariant: a state always encodes")
}

/// Decodes a state.
///
/// # Errors
///
/// Returns an [`Error`] when the bytes are not the encoding of a state.
pub fn decode(bytes: &[u8]) -> Result<State, Error> {
    let (&version, rest) = bytes.split_first().ok_or(Error::Empty)?;
    if version != VERSION {
        return Err(Error::Version(version));
    }
    Ok(postcard::from_bytes(rest)?)
}
