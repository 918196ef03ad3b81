//! Client interface to the other instances.

use std::{future::Future, time::Duration};

use common::name;
use derive_more::{Display, Error};
use wire::spread::{Update, Version};

/// A call to another instance failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{peer}: {cause}")]
pub struct Error {
    /// The instance.
    pub peer: name::Instance,
    /// The cause, as reported by the connection.
    pub cause: String,
}

/// Calls the other instances.
pub trait Client: Clone + Send + Sync + 'static {
    /// Asks for what `have` lacks; the other waits up to `wait` for news.
    fn pull(
        &self,
        peer: &name::Instance,
        have: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, Error>> + Send;

    /// Asks for the versions in force.
    fn in_force(
        &self,
        peer: &name::Instance,
    ) -> impl Future<Output = Result<Vec<Version>, Error>> + Send;
}
