//! Requests declarations from other instances over the connections to them.

use std::{sync::Arc, time::Duration};

use common::{collections::Map, name};
use spread::peer;
use wire::{
    link::Link,
    peer::PeerClient,
    spread::{Update, Version},
};

use crate::context::Context;

/// Time that a call may take beyond the wait it asks for; after that its connection is dropped.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The connections to the other instances, by name; clones share them.
#[derive(Clone, Debug)]
pub struct Links {
    links: Arc<Map<name::Instance, Arc<Link>>>,
}

impl Links {
    /// Collects the connections of a context.
    pub fn new(context: &Context) -> Links {
        let peers = context.peers.iter();
        let links = peers.map(|peer| (peer.instance.clone(), Arc::clone(&peer.link))).collect();
        Links { links: Arc::new(links) }
    }

    fn find(&self, peer: &name::Instance) -> Result<&Arc<Link>, peer::Error> {
        let unknown =
            || peer::Error { peer: peer.clone(), cause: String::from("not in the settings") };
        self.links.get(peer).ok_or_else(unknown)
    }
}

impl peer::Client for Links {
    async fn pull(
        &self,
        peer: &name::Instance,
        have: Version,
        wait: Duration,
    ) -> Result<Update, peer::Error> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = async |client: &PeerClient, context| client.pull(context, have, wait_ms).await;
        let response = self.find(peer)?.call(wait + CALL_TIMEOUT, call).await;
        response.map_err(|error| peer::Error { peer: peer.clone(), cause: error.to_string() })
    }

    async fn in_force(&self, peer: &name::Instance) -> Result<Vec<Version>, peer::Error> {
        let call = async |client: &PeerClient, context| client.in_force(context).await;
        let response = self.find(peer)?.call(CALL_TIMEOUT, call).await;
        response.map_err(|error| peer::Error { peer: peer.clone(), cause: error.to_string() })
    }
}
