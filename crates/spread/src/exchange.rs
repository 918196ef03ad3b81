//! How an instance asks others.

use std::{future::Future, time::Duration};

use common::name;
use derive_more::{Display, Error};
use wire::spread::{Update, Version};

/// Another instance gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{peer}: {cause}")]
pub struct Silence {
    /// The instance.
    pub peer: name::Instance,
    /// What was seen.
    pub cause: String,
}

/// Calls to other instances.
pub trait Exchange: Clone + Send + Sync + 'static {
    /// Asks for what `have` lacks; the other waits up to `wait` for news.
    fn pull(
        &self,
        peer: &name::Instance,
        have: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, Silence>> + Send;

    /// Asks for the versions in force.
    fn in_force(
        &self,
        peer: &name::Instance,
    ) -> impl Future<Output = Result<Vec<Version>, Silence>> + Send;
}
