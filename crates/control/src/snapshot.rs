//! The encoded form of a state.

use derive_more::{Display, Error, From};

use crate::state::State;

/// Version of the encoding; the first byte.
pub const VERSION: u8 = 1;

/// Why a snapshot can't be read.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// There is nothing.
    #[display("snapshot is empty")]
    Empty,
    /// Another version of the program wrote it.
    #[display("snapshot has encoding {_0}, expected {VERSION}")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The bytes are no state.
    #[display("snapshot: {_0}")]
    Form(postcard::Error),
}

/// Encodes a state.
pub fn encode(state: &State) -> Vec<u8> {
    postcard::to_extend(state, vec![VERSION]).expect("invariant: a state always encodes")
}

/// Decodes a state.
///
/// # Errors
///
/// Returns a [`Fault`] when the bytes are not the encoding of a state.
pub fn decode(bytes: &[u8]) -> Result<State, Fault> {
    let (&version, rest) = bytes.split_first().ok_or(Fault::Empty)?;
    if version != VERSION {
        return Err(Fault::Version(version));
    }
    Ok(postcard::from_bytes(rest)?)
}
