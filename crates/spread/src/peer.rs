//! Client interface to the other instances.

use std::{future::Future, time::Duration};

use common::name;
use derive_more::{Display, Error};
use wire::spread::{Update, Version};

/// A call to another instance failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("call to instance {peer} failed: {cause}")]
pub struct Error {
    /// The instance that was called.
    pub peer: name::Instance,
    /// The cause, as reported by the connection.
    pub cause: String,
}

/// Calls the other instances.
pub trait Client: Clone + Send + Sync + 'static {
    /// Requests changes after the version `have`; the peer waits up to `wait` until there are any.
    fn pull(
        &self,
        peer: &name::Instance,
        have: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, Error>> + Send;

    /// Requests the versions that are in force at the peer.
    fn in_force(
        &self,
        peer: &name::Instance,
    ) -> impl Future<Output = Result<Vec<Version>, Error>> + Send;
}
