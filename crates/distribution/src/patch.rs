//! The difference between two documents: an rsync delta, compressed.

use std::io::{Read, Write};

use derive_more::{Display, Error, From};
use fast_rsync::{Signature, SignatureOptions};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use fleet::register::Document;
use serde::{Deserialize, Serialize};

/// Size of the blocks of the base that are found again in the result, in bytes. Each of them costs some bytes of the delta,
/// and a block that changed is sent whole.
const BLOCK_BYTES: u32 = 1024;
/// Length of the hash by which blocks are compared, in bytes.
const HASH_BYTES: u32 = 16;
/// Largest document that is built, in bytes; twice what operators may send.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Leads from one document to another; from an empty one if it holds a whole document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the result.
    pub version: u64,
    /// Checksum of the result, see [`checksum`].
    pub checksum: u32,
    /// The compressed delta.
    data: Vec<u8>,
}

/// Why a patch can't be applied.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// It can't be decompressed.
    #[display("the patch can't be decompressed: {_0}")]
    Compression(std::io::Error),
    /// It doesn't fit the document, or its result is too large.
    #[display("the patch doesn't fit: {_0}")]
    Delta(fast_rsync::ApplyError),
    /// Its result isn't the document that it was made for.
    #[display("the result of the patch has another checksum")]
    #[from(skip)]
    Checksum,
}

/// Checksum of a document's bytes.
pub fn checksum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}

impl Patch {
    /// The difference between the bytes of a document and a newer document.
    pub fn new(base: &[u8], newer: &Document) -> Patch {
        let options = SignatureOptions { block_size: BLOCK_BYTES, crypto_hash_size: HASH_BYTES };
        let signature = Signature::calculate(base, options);
        let mut delta = Vec::new();
        fast_rsync::diff(&signature.index(), &newer.bytes, &mut delta).expect(
            "invariant: the hash has a valid length, and a buffer in memory takes all bytes",
        );
        Patch { version: newer.version, checksum: checksum(&newer.bytes), data: compress(&delta) }
    }

    /// The document that results from the bytes of the base.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the patch was made for other bytes or was damaged.
    pub fn apply(&self, base: &[u8]) -> Result<Document, Error> {
        let mut delta = Vec::new();
        let limit = 2 * MAX_DOCUMENT_BYTES as u64;
        DeflateDecoder::new(self.data.as_slice()).take(limit).read_to_end(&mut delta)?;
        let mut bytes = Vec::new();
        fast_rsync::apply_limited(base, &delta, &mut bytes, MAX_DOCUMENT_BYTES)?;
        if checksum(&bytes) != self.checksum {
            return Err(Error::Checksum);
        }
        Ok(Document { version: self.version, bytes })
    }

    /// Size of the compressed delta, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.data.len()
    }
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder
        .write_all(bytes)
        .and_then(|()| encoder.finish())
        .expect("invariant: a buffer in memory takes all bytes")
}
