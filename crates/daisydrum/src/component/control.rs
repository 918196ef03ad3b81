//! The control listener: HTTP calls of targets, which announce themselves, and of operators.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use entry::router;
use oxhttp::{
    ListeningServer, Server,
    model::{Body, Method, Request, Response, StatusCode},
};
use telemetry::metric;
use tokio::sync::oneshot;
use wire::{operator, peer, target};

use crate::{
    component::{branch_api, membership, orders, replica_api},
    error::Error,
    http,
    replicated_logs::Logs,
};

const MAX_CONNECTIONS: usize = 256;
/// Timeout that the HTTP server applies to its connections.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// State and handles that the control listener's calls use.
#[derive(Clone, Debug)]
pub struct Control {
    /// Name, data centre and protocol version of the instance.
    pub identity: peer::Identity,
    /// Whether the instance accepts callers.
    pub ready: Arc<AtomicBool>,
    /// Sends commands to the router's thread.
    pub router: router::Handle,
    /// Sends announcements to the table of targets and instances.
    pub membership: membership::Handle,
    /// Renders the process's metrics.
    pub metrics: metric::Renderer,
    /// Handles operators' calls on replicas.
    pub replica_api: replica_api::Api,
    /// Handles operators' calls on branches.
    pub branch_api: branch_api::Api<Logs>,
    /// Shows orders and roles of the data centre.
    pub orders: orders::Handle,
}

/// Starts the control listener. It runs until the process exits, since `oxhttp` can't stop a listener.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the address can't be listened on.
pub fn start(address: SocketAddr, control: Control) -> Result<ListeningServer, Error> {
    Server::new(move |request| control.handle(request))
        .bind(address)
        .with_global_timeout(REQUEST_TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .spawn()
        .map_err(|cause| Error::Listen { address, purpose: "targets and operators", cause })
}

impl Control {
    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, operator::HEALTH_PATH) => http::text(StatusCode::OK, "ok\n"),
            (&Method::GET, operator::READY_PATH) => self.readiness(),
            (&Method::GET, operator::METRICS_PATH) => {
                http::text(StatusCode::OK, &self.metrics.render())
            }
            (&Method::GET, operator::STATUS_PATH) => self.status(),
            (&Method::POST, target::ANNOUNCE_PATH) => self.announce(request),
            _ => self.handle_operator(request).unwrap_or_else(|| {
                http::refuse(StatusCode::NOT_FOUND, format!("no such path: {path}"))
            }),
        }
    }

    fn handle_operator(&self, request: &mut Request<Body>) -> Option<Response<Body>> {
        self.replica_api.handle(request).or_else(|| self.branch_api.handle(request))
    }

    /// Whether the instance accepts callers and its declarations are in force.
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && self.branch_api.synchronizer.is_ready()
    }

    fn readiness(&self) -> Response<Body> {
        if self.is_ready() {
            return http::text(StatusCode::OK, "ready\n");
        }
        http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn status(&self) -> Response<Body> {
        let (reply, targets) = oneshot::channel();
        let sent = self.router.send(router::Command::ListTargets(reply)).is_ok();
        let Some(targets) = sent.then(|| targets.blocking_recv().ok()).flatten() else {
            return http::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                String::from("the router is overloaded or stopping; repeat the request"),
            );
        };
        let ready = self.is_ready();
        let status = operator::Status {
            instance: self.identity.instance.clone(),
            data_centre: self.identity.data_centre.clone(),
            ready,
            targets,
            orders: self.orders.summary(),
        };
        http::json(StatusCode::OK, &status)
    }

    fn announce(&self, request: &mut Request<Body>) -> Response<Body> {
        let announcement: target::Announcement = match http::read_json(request) {
            Ok(announcement) => announcement,
            Err(problem) => return http::refuse(StatusCode::BAD_REQUEST, problem),
        };
        match self.membership.announce(announcement) {
            Ok(()) => http::empty(StatusCode::NO_CONTENT),
            Err(refusal) => http::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("announcement not recorded: {refusal}; announce again"),
            ),
        }
    }
}
