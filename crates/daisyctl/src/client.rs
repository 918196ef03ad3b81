//! Client of a daemon's control listener.

use std::{io, net::SocketAddr, time::Duration};

use oxhttp::{
    Client,
    model::{Body, Method, Request, Response, StatusCode},
};
use serde::{Serialize, de::DeserializeOwned};
use settings::error::Faults;
use wire::operator::{self, branch};

use crate::error::Error;

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon that commands are sent to.
#[derive(Clone, Copy, Debug)]
pub struct Daemon {
    /// Its control address.
    pub address: SocketAddr,
}

impl Daemon {
    /// Sends a `GET` request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when there is no response or it can't be read as JSON of type `T`, and another
    /// error when the daemon refuses or does not know the outcome.
    pub fn get<T: DeserializeOwned>(self, path: &str) -> Result<T, Error> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}{path}", self.address))
            .body(Body::empty())
            .map_err(|error| Error::Usage { problem: error.to_string() })?;
        let response = Client::new()
            .with_global_timeout(CALL_TIMEOUT)
            .request(request)
            .map_err(|cause| Error::Unreachable { address: self.address, cause })?;
        self.read(response)
    }

    /// Sends a `POST` request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when the connection is refused, [`Error::OutcomeUnknown`] when the daemon may
    /// have received the call but no usable response came, and another error when the daemon refuses.
    pub fn post<T: DeserializeOwned>(self, path: &str, body: &impl Serialize) -> Result<T, Error> {
        let text = serde_json::to_string(body)
            .expect("invariant: values whose map keys are strings serialise to JSON");
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .body(Body::from(text))
            .map_err(|error| Error::Usage { problem: error.to_string() })?;
        let sent = Client::new().with_global_timeout(CALL_TIMEOUT).request(request);
        let response = sent.map_err(|cause| match cause.kind() {
            io::ErrorKind::ConnectionRefused => Error::Unreachable { address: self.address, cause },
            _ => Error::OutcomeUnknown { reason: format!("{}: {cause}", self.address) },
        })?;
        match self.read(response) {
            Err(Error::Unreachable { cause, .. }) => {
                Err(Error::OutcomeUnknown { reason: format!("{}: {cause}", self.address) })
            }
            result => result,
        }
    }

    fn read<T: DeserializeOwned>(self, response: Response<Body>) -> Result<T, Error> {
        let status = response.status();
        let text = response
            .into_body()
            .to_string()
            .map_err(|cause| Error::Unreachable { address: self.address, cause })?;
        if !status.is_success() {
            return Err(rejection(status, text));
        }
        serde_json::from_str(&text).map_err(|error| {
            let cause = io::Error::new(io::ErrorKind::InvalidData, error);
            Error::Unreachable { address: self.address, cause }
        })
    }
}

fn rejection(status: StatusCode, text: String) -> Error {
    if let Ok(branch::Faults { faults }) = serde_json::from_str(&text) {
        return Error::Settings(Faults { faults });
    }
    let reason =
        serde_json::from_str(&text).map_or(text, |refusal: operator::Refusal| refusal.error);
    match status {
        StatusCode::GATEWAY_TIMEOUT => Error::OutcomeUnknown { reason },
        _ => Error::Refused { reason },
    }
}
