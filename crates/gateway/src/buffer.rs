//! Memory for responses of targets that are held until they can be forwarded, bounded for all requests together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

/// Bytes that all responses together may hold. Buffers of responses without a length grow by doubling, so their memory
/// is up to twice as much.
const TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Why a body was not read completely.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// The connection failed.
    #[display("the response ended early: {_0}")]
    Truncated(hyper::Error),
    /// The body is larger than allowed.
    #[display("the response is too large")]
    TooLarge,
    /// The responses of other requests hold all of the memory.
    #[display("no memory is left for the response")]
    NoMemory,
}

/// The bytes that responses hold; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget(Arc<AtomicUsize>);

/// The bytes that one response holds; dropping it gives them back.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// A reservation of nothing yet.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Changes the number of bytes that are held; `false`, with no change, if that exceeds the budget.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            let used = self.budget.0.fetch_add(more, Ordering::AcqRel) + more;
            if used > TOTAL_BYTES && more > 0 {
                self.budget.0.fetch_sub(more, Ordering::AcqRel);
                return false;
            }
        } else {
            self.budget.0.fetch_sub(self.bytes - bytes, Ordering::AcqRel);
        }
        self.bytes = bytes;
        true
    }

    /// Reads a body of at most `limit` bytes.
    pub(crate) async fn read(&mut self, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
        let length = usize::try_from(body.size_hint().lower()).unwrap_or(limit);
        let mut read = BytesMut::with_capacity(length.min(limit));
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(Error::Truncated)?.into_data() else {
                continue;
            };
            let bytes = read.len() + data.len();
            if bytes > limit {
                return Err(Error::TooLarge);
            }
            if !self.resize(bytes) {
                return Err(Error::NoMemory);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
