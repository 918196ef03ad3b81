//! Answers callers' requests.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use serde::Serialize;
use settings::service;
use slog::{Logger, info};
use telemetry::span;
use tokio::sync::{mpsc, oneshot, watch};
use wire::{outcome, target};

use crate::{
    answer, attempt,
    body::{Body, Cut},
    directory::{Binding, Directory},
    request, router,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);
const STREAM_PARTS: usize = 64;
const MODELS_PATH: &str = "/v1/models";
const COMPLETION_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Headers that hold for one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What the request path needs.
#[derive(Clone, Debug)]
pub struct Server {
    /// The keys of the tree in force.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// The router's thread.
    pub router: router::Handle,
    /// Takes ended spans.
    pub spans: span::Exporter,
    /// Takes log lines.
    pub log: Logger,
}

/// A request that belongs to a service.
struct Call {
    binding: Binding,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    span: span::Span,
}

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: String,
}

impl Server {
    /// Answers one request; faults are answers, too.
    ///
    /// # Errors
    ///
    /// Never fails.
    pub async fn serve(self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        let parent = request
            .headers()
            .get(span::HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(span::Context::parse);
        let span = span::Span::start("request", parent);
        let answer = match self.accept(request, span).await {
            Ok(response) => response,
            Err(fault) => answer::fault(&fault),
        };
        metrics::counter!("daisydrum_requests_total", "status" => answer.status().as_u16().to_string()).increment(1);
        Ok(answer)
    }

    async fn accept(
        &self,
        request: Request<Incoming>,
        span: span::Span,
    ) -> Result<Response<Body>, answer::Fault> {
        let (head, body) = request.into_parts();
        let directory = self.directory.borrow().clone();
        let binding = request::authenticate(&head.headers, &directory)?.clone();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if head.uri.path() == MODELS_PATH && binding.settings.kind == service::Kind::Model {
            return Ok(models(&binding));
        }
        let body = request::read_body(&head.headers, body, binding.settings.limits.body_kb).await?;
        let call = Call { binding, method: head.method, path, headers: head.headers, body, span };
        match call.binding.settings.kind {
            service::Kind::Model => self.complete(call).await,
            service::Kind::Plain => self.pass(call).await,
        }
    }

    async fn complete(&self, call: Call) -> Result<Response<Body>, answer::Fault> {
        let path = call.path.split('?').next().unwrap_or_default();
        if call.method != Method::POST || !COMPLETION_PATHS.contains(&path) {
            return Err(answer::Fault::Path);
        }
        let completion = request::parse_completion(&call.body)?;
        let model = resolve(&call.binding.settings, &completion.model)
            .ok_or(answer::Fault::Model { model: completion.model })?;
        self.forward(call, Some(model)).await
    }

    async fn pass(&self, call: Call) -> Result<Response<Body>, answer::Fault> {
        self.forward(call, None).await
    }

    async fn forward(
        &self,
        mut call: Call,
        model: Option<String>,
    ) -> Result<Response<Body>, answer::Fault> {
        let choice = self.choose(&call, model).await?;
        call.span.set("target", &choice.target);
        let attempt = span::Span::start("attempt", Some(call.span.context));
        let request = outgoing(&call, &attempt);
        let sent = attempt::send(choice.address, request).await;
        self.spans.end(attempt);
        match sent {
            Ok(response) => Ok(self.relay(call, choice, response)),
            Err(fault) => {
                self.finish(&choice);
                Err(judge(&fault))
            }
        }
    }

    async fn choose(
        &self,
        call: &Call,
        model: Option<String>,
    ) -> Result<router::Choice, answer::Fault> {
        let unavailable = answer::Fault::Unavailable { retry_after: RETRY_AFTER };
        let ask = router::Ask {
            partner: call.binding.partner.clone(),
            service: call.binding.service.clone(),
            model,
        };
        let (reply, choice) = oneshot::channel();
        self.router
            .send(router::Command::Choose(ask, reply))
            .map_err(|_refusal| unavailable.clone())?;
        choice.await.ok().flatten().ok_or(unavailable)
    }

    fn relay(
        &self,
        call: Call,
        choice: router::Choice,
        answer: Response<Incoming>,
    ) -> Response<Body> {
        let (mut head, body) = answer.into_parts();
        strip_hop_headers(&mut head.headers);
        let refused = head.headers.remove(target::REFUSED_HEADER).is_some();
        let word = if refused { outcome::Word::NotRun } else { outcome::Word::Ran };
        let (sender, receiver) = mpsc::channel(STREAM_PARTS);
        let server = self.clone();
        tokio::spawn(async move {
            copy(body, sender).await;
            server.finish(&choice);
            let binding = &call.binding;
            info!(server.log, "answered"; "partner" => %binding.partner, "service" => %binding.service,
                "target" => %choice.target, "trace" => format!("{:032x}", call.span.context.trace));
            server.spans.end(call.span);
        });
        let mut response = Response::from_parts(head, Body::Stream(receiver));
        answer::mark(&mut response, word);
        response
    }

    fn finish(&self, choice: &router::Choice) {
        let sent = self.router.send(router::Command::Finish(choice.target.clone()));
        if sent.is_err() {
            metrics::counter!("daisydrum_router_ring_full_total").increment(1);
        }
    }
}

/// Copies an answer to the caller until either side ends.
async fn copy(mut body: Incoming, sender: mpsc::Sender<Result<Bytes, Cut>>) {
    while let Some(frame) = body.frame().await {
        let part = match frame {
            Ok(frame) => frame.into_data().map_err(|_trailers| Cut),
            Err(_) => Err(Cut),
        };
        if sender.send(part).await.is_err() {
            return;
        }
    }
}

fn outgoing(call: &Call, attempt: &span::Span) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().expect("invariant: the path came from a parsed request");
    let headers = request.headers_mut();
    for (name, value) in &call.headers {
        headers.append(name.clone(), value.clone());
    }
    strip_hop_headers(headers);
    headers.remove(hyper::header::AUTHORIZATION);
    headers.insert(HOST, HeaderValue::from_static("target"));
    let traceparent =
        HeaderValue::from_str(&attempt.context.header()).expect("invariant: hexadecimal digits");
    headers.insert(HeaderName::from_static(span::HEADER), traceparent);
    let id = format!("{:016x}", attempt.context.span);
    let id = HeaderValue::from_str(&id).expect("invariant: hexadecimal digits");
    headers.insert(HeaderName::from_static(target::ATTEMPT_HEADER), id);
    request
}

fn strip_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

fn judge(fault: &attempt::Fault) -> answer::Fault {
    match fault {
        attempt::Fault::Connect(_) => answer::Fault::Unavailable { retry_after: RETRY_AFTER },
        attempt::Fault::Call(error) => answer::Fault::Target { problem: error.to_string() },
    }
}

/// The version that engines load for a model that callers name.
fn resolve(settings: &service::Service, model: &str) -> Option<String> {
    let model = settings.models.iter().find(|candidate| candidate.name == model)?;
    Some(model.version.clone().unwrap_or_else(|| model.name.clone()))
}

fn models(binding: &Binding) -> Response<Body> {
    let data = binding
        .settings
        .models
        .iter()
        .map(|model| Model {
            id: model.name.clone(),
            object: "model",
            owned_by: binding.partner.to_string(),
        })
        .collect();
    let text = serde_json::to_string(&Models { object: "list", data })
        .expect("invariant: models have only text");
    let mut response = answer::json(StatusCode::OK, text);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
