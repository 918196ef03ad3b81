//! Calls to a daemon's control listener.

use std::{io, net::SocketAddr, time::Duration};

use oxhttp::{
    Client,
    model::{Body, Method, Request, Response},
};
use serde::de::DeserializeOwned;
use wire::operator;

use crate::error::Fault;

/// Longest time for one call.
pub const LIMIT: Duration = Duration::from_secs(30);

/// A daemon to talk to.
#[derive(Clone, Copy, Debug)]
pub struct Daemon {
    /// Its control address.
    pub address: SocketAddr,
}

impl Daemon {
    /// Gets an answer of JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] when the daemon can't be reached or refuses.
    pub fn get<T: DeserializeOwned>(self, path: &str) -> Result<T, Fault> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}{path}", self.address))
            .body(Body::empty())
            .map_err(|error| Fault::Usage { problem: error.to_string() })?;
        let response = Client::new()
            .with_global_timeout(LIMIT)
            .request(request)
            .map_err(|cause| Fault::Unreachable { address: self.address, cause })?;
        self.read(response)
    }

    fn read<T: DeserializeOwned>(self, response: Response<Body>) -> Result<T, Fault> {
        let refused = !response.status().is_success();
        let text = response
            .into_body()
            .to_string()
            .map_err(|cause| Fault::Unreachable { address: self.address, cause })?;
        if refused {
            let reason = serde_json::from_str(&text)
                .map_or(text, |refusal: operator::Refusal| refusal.error);
            return Err(Fault::Refused { reason });
        }
        serde_json::from_str(&text).map_err(|error| {
            let cause = io::Error::new(io::ErrorKind::InvalidData, error);
            Fault::Unreachable { address: self.address, cause }
        })
    }
}
