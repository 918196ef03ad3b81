//! Calls for declarations over the connections to other instances.

use std::{sync::Arc, time::Duration};

use common::{collections::Map, name};
use spread::peer;
use wire::{
    link::Link,
    peer::PeerClient,
    spread::{Update, Version},
};

use crate::context::Context;

/// What a call may take beyond its wait before its connection is given up.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The connections to the other instances; clones share them.
#[derive(Clone, Debug)]
pub struct Links {
    links: Arc<Map<name::Instance, Arc<Link>>>,
}

impl Links {
    /// Takes the connections of an instance.
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
        let answer = self.find(peer)?.call(wait + CALL_LIMIT, call).await;
        answer.map_err(|fault| peer::Error { peer: peer.clone(), cause: fault.to_string() })
    }

    async fn in_force(&self, peer: &name::Instance) -> Result<Vec<Version>, peer::Error> {
        let call = async |client: &PeerClient, context| client.in_force(context).await;
        let answer = self.find(peer)?.call(CALL_LIMIT, call).await;
        answer.map_err(|fault| peer::Error { peer: peer.clone(), cause: fault.to_string() })
    }
}
