//! The control listener: targets announce themselves, operators ask and order.

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
    model::{Body, Method, Request, Response, StatusCode, header},
};
use serde::Serialize;
use telemetry::metric;
use tokio::sync::oneshot;
use wire::{operator, peer, target};

use crate::error::Fault;

const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const MAX_CONNECTIONS: usize = 256;
const TIMEOUT: Duration = Duration::from_secs(10);

/// What the control listener answers from.
#[derive(Clone, Debug)]
pub struct Control {
    /// Who the instance is.
    pub identity: peer::Identity,
    /// Whether the instance takes callers.
    pub ready: Arc<AtomicBool>,
    /// The router's thread.
    pub router: router::Handle,
    /// The process's metrics.
    pub metrics: metric::Page,
}

/// Starts the control listener. It ends with the process, since `oxhttp` can't stop a listener.
///
/// # Errors
///
/// Returns a [`Fault`] when the address can't be listened on.
pub fn start(address: SocketAddr, control: Control) -> Result<ListeningServer, Fault> {
    Server::new(move |request| control.answer(request))
        .bind(address)
        .with_global_timeout(TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .spawn()
        .map_err(|cause| Fault::Listen { address, purpose: "targets and operators", cause })
}

impl Control {
    fn answer(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, operator::HEALTH_PATH) => text(StatusCode::OK, "ok\n"),
            (&Method::GET, operator::READY_PATH) => self.readiness(),
            (&Method::GET, operator::METRICS_PATH) => text(StatusCode::OK, &self.metrics.render()),
            (&Method::GET, operator::STATUS_PATH) => self.status(),
            (&Method::POST, target::ANNOUNCE_PATH) => self.announce(request),
            _ => refuse(StatusCode::NOT_FOUND, format!("no such path: {path}")),
        }
    }

    fn readiness(&self) -> Response<Body> {
        if self.ready.load(Ordering::Acquire) {
            return text(StatusCode::OK, "ready\n");
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn status(&self) -> Response<Body> {
        let (reply, targets) = oneshot::channel();
        let sent = self.router.send(router::Command::List(reply)).is_ok();
        let Some(targets) = sent.then(|| targets.blocking_recv().ok()).flatten() else {
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                String::from("the router is busy; ask again"),
            );
        };
        let ready = self.ready.load(Ordering::Acquire);
        let status = operator::Status {
            instance: self.identity.instance.clone(),
            data_centre: self.identity.data_centre.clone(),
            ready,
            targets,
        };
        json(StatusCode::OK, &status)
    }

    fn announce(&self, request: &mut Request<Body>) -> Response<Body> {
        let announcement: target::Announcement = match read_json(request) {
            Ok(announcement) => announcement,
            Err(problem) => return refuse(StatusCode::BAD_REQUEST, problem),
        };
        match self.router.send(router::Command::Announce(Box::new(announcement))) {
            Ok(()) => empty(StatusCode::NO_CONTENT),
            Err(refusal) => {
                refuse(StatusCode::SERVICE_UNAVAILABLE, format!("{refusal}; announce again"))
            }
        }
    }
}

fn read_json<T: serde::de::DeserializeOwned>(request: &mut Request<Body>) -> Result<T, String> {
    use std::io::Read;

    let mut bytes = Vec::new();
    let mut body = request.body_mut().take(MAX_BODY_BYTES + 1);
    body.read_to_end(&mut bytes).map_err(|error| format!("the body can't be read: {error}"))?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(format!("the body is larger than {MAX_BODY_BYTES} bytes"));
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| format!("the body doesn't have the expected form: {error}"))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_string(value).expect("invariant: answers have text keys");
    build(status, "application/json", text)
}

fn refuse(status: StatusCode, error: String) -> Response<Body> {
    json(status, &operator::Refusal { error })
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    build(status, "text/plain; version=0.0.4", String::from(text))
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn build(status: StatusCode, kind: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}
