//! Bodies that are held until they are complete, within the budget of the instance.

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use memory::{assembly::Assembly, budget::Reservation};

/// Why a body was not read completely.
#[derive(Debug, Display)]
pub enum Error {
    /// The connection failed.
    #[display("the body ended early: {_0}")]
    Truncated(hyper::Error),
    /// The body is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// Others hold all of the memory.
    #[display("no memory is left for the body")]
    NoMemory,
}

/// Reads a body of at most `limit` bytes, which the reservation holds in addition to what it holds already.
///
/// # Errors
///
/// Returns an [`enum@Error`]; [`Error::TooLarge`] at once if the announced length exceeds the limit.
pub async fn read(
    reservation: &mut Reservation,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, Error> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let held = reservation.bytes();
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Error::TooLarge);
    }
    let expected = if body.size_hint().exact().is_some() { announced } else { limit };
    let mut assembly = Assembly::new(expected);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Error::Truncated)?.into_data() else {
            continue;
        };
        if assembly.length() + data.len() > limit {
            return Err(Error::TooLarge);
        }
        let needed = held + assembly.capacity_with(data.len());
        reservation.grow(needed).await.map_err(|_exhausted| Error::NoMemory)?;
        assembly.push(&data);
    }
    let body = assembly.finish();
    reservation.resize(held + body.len());
    Ok(body)
}
