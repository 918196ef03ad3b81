//! Encoding of a state as a snapshot: one byte with [`VERSION`], then the state in postcard's format.

use derive_more::{Display, Error, From};

use crate::state::State;

/// Version of the encoding, which is the first byte of a snapshot.
pub const VERSION: u8 = 1;

/// Why a snapshot can't be decoded.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The snapshot has no bytes.
    #[display("snapshot is empty")]
    Empty,
    /// A program with another version of the encoding wrote the snapshot.
    #[display("snapshot has encoding version {_0}, but only version {VERSION} can be read")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The bytes are not the encoding of a state.
    #[display("snapshot can't be decoded: {_0}")]
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
/// Returns an [`enum@Error`] when the bytes are not the encoding of a state.
pub fn decode(bytes: &[u8]) -> Result<State, Error> {
    let (&version, rest) = bytes.split_first().ok_or(Error::Empty)?;
    if version != VERSION {
        return Err(Error::Version(version));
    }
    Ok(postcard::from_bytes(rest)?)
}
