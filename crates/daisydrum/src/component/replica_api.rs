//! Handles operators' HTTP calls on replicas.

use std::time::Duration;

use common::name;
use futures::future;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use replica::host::Host;
use wire::{
    log::{self, Error, Replacement},
    peer::PeerClient,
};

use crate::{context::Context, http, replicated_logs::Logs};

/// Longest wait for another instance's status of a replica.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a change of members.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// State and handles that operators' calls on replicas use.
#[derive(Clone, Debug)]
pub struct Api {
    /// Context of the instance.
    pub context: Context,
    /// The replicas kept here.
    pub host: Host,
    /// Client of the replicated logs.
    pub logs: Logs,
}

impl Api {
    /// Handles a request to the path of replicas; `None` for other paths and methods.
    pub fn handle(&self, request: &mut Request<Body>) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, log::REPLICAS_PATH) => Some(self.list()),
            (&Method::POST, log::REPLICAS_PATH) => Some(self.replace(request)),
            _ => None,
        }
    }

    fn list(&self) -> Response<Body> {
        let own = self.host.branches().map(|branch| log::Replica {
            branch: branch.clone(),
            instance: self.context.identity.instance.clone(),
            status: self.host.replica(branch).and_then(replica::host::Handle::status),
        });
        let others = self.context.peers.iter().flat_map(|peer| {
            peer.replicas.iter().map(|branch| async {
                let call = async |client: &PeerClient, context| {
                    client.replica(context, branch.clone()).await
                };
                let status = peer.link.call(PEER_TIMEOUT, call).await.ok().flatten();
                log::Replica { branch: branch.clone(), instance: peer.instance.clone(), status }
            })
        });
        let mut replicas: Vec<log::Replica> = own.collect();
        replicas.extend(self.context.runtime.block_on(future::join_all(others)));
        replicas.sort_by(|left, right| {
            (&left.branch, &left.instance).cmp(&(&right.branch, &right.instance))
        });
        http::json(StatusCode::OK, &replicas)
    }

    fn replace(&self, request: &mut Request<Body>) -> Response<Body> {
        let replacement: Replacement = match http::read_json(request) {
            Ok(replacement) => replacement,
            Err(problem) => return http::refuse(StatusCode::BAD_REQUEST, problem),
        };
        let Logs::Replicated(client) = &self.logs else {
            return http::refuse(
                StatusCode::CONFLICT,
                String::from("no instance in the settings keeps a replica"),
            );
        };
        let Replacement { branch, old, new } = replacement;
        let branch: name::Branch = branch;
        let change = client.replace(&branch, old, new, CHANGE_TIMEOUT);
        match self.context.runtime.block_on(change) {
            Ok(()) => http::json(StatusCode::OK, &branch),
            Err(Error::NotAccepted { reason }) => http::refuse(StatusCode::CONFLICT, reason),
            Err(Error::Unknown { reason }) => http::refuse(StatusCode::GATEWAY_TIMEOUT, reason),
        }
    }
}
