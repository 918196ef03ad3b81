//! Serves callers' requests: checks them, submits them to the router and starts their drivers.

use std::{convert::Infallible, sync::Arc};

use common::{cancel, clock::Moment, name};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, http::request};
use route::request::Retry;
use serde::Serialize;
use settings::service;
use slog::Logger;
use telemetry::span;
use tokio::sync::{oneshot, watch};
use wire::completion;

use crate::{
    body::Body,
    call::{Call, delivered_tokens},
    claim::Store,
    directory::{Binding, Directory},
    driver::Driver,
    offered,
    output::Output,
    progress::Progress,
    protocol::Protocol,
    race::Race,
    request::{authenticate, deadline, parse_completion, read_body, retry},
    response, router,
};

mod claimed;

const MODELS_PATH: &str = "/v1/models";
const COMPLETION_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Serves callers' requests; clones share their parts.
#[derive(Clone, Debug)]
pub struct Server<P, C> {
    /// Name of the instance.
    pub instance: name::Instance,
    /// The services and keys in force.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Sends commands to the router's thread.
    pub router: router::Handle,
    /// The protocol of the targets.
    pub protocol: P,
    /// Stores claims on calls that must run at most once.
    pub claims: C,
    /// Counts the load that callers offer.
    pub offered: offered::Meter,
    /// Exports ended spans.
    pub spans: span::Exporter,
    /// Receives log lines.
    pub log: Logger,
}

/// Body of the response that lists the models of a service.
#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

/// A model of a service.
#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: String,
}

impl<P: Protocol, C: Store> Server<P, C> {
    /// Serves one request; an error becomes a response, too.
    ///
    /// # Errors
    ///
    /// Never fails.
    pub async fn serve(self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        let parent = request.headers().get(span::HEADER).and_then(|value| value.to_str().ok());
        let span = span::Span::start("request", parent.and_then(span::Context::parse));
        let response = match self.handle(request, span).await {
            Ok(response) => response,
            Err(error) => response::error(&error),
        };
        let status = response.status().as_u16().to_string();
        metrics::counter!("daisydrum_requests_total", "status" => status).increment(1);
        Ok(response)
    }

    /// Authenticates and checks a request, reads its body and serves the call.
    async fn handle(
        &self,
        request: Request<Incoming>,
        span: span::Span,
    ) -> Result<Response<Body>, response::Error> {
        let arrived = Moment::now();
        let (head, body) = request.into_parts();
        let directory = self.directory.borrow().clone();
        let binding = authenticate(&head.headers, &directory)?.clone();
        let settings = Arc::clone(&binding.service.settings);
        if settings.kind == service::Kind::Model && head.uri.path() == MODELS_PATH {
            return Ok(models(&binding));
        }
        check_path(&head, &settings)?;
        let deadline = deadline(&head.headers, &settings.limits, arrived)?;
        let body = read_body(&head.headers, body, settings.limits.body_kb).await?;
        let completion = match settings.kind {
            service::Kind::Model => Some(parse_completion(&body)?),
            service::Kind::Plain => None,
        };
        if let Some(completion) = &completion {
            check_model(&completion.model, &settings)?;
        }
        let call = Call {
            binding,
            method: head.method,
            path: head.uri.path_and_query().map_or_else(|| String::from("/"), ToString::to_string),
            retry: retry(head.uri.path(), &settings.claims),
            headers: head.headers,
            body,
            completion,
            deadline,
            span: span.context,
        };
        self.serve_call(Arc::new(call), span).await
    }

    /// Runs a call; returns once there is a response or the head of one.
    async fn serve_call(
        &self,
        call: Arc<Call>,
        span: span::Span,
    ) -> Result<Response<Body>, response::Error> {
        if call.retry == Retry::Never {
            return claimed::run(self.clone(), call, span).await;
        }
        // Cancelled when the body of the response is dropped, for example because the caller has disconnected.
        let gone = cancel::Token::new();
        let guard = gone.clone().drop_guard();
        let response = self.drive(call, span, gone).await?;
        Ok(response.map(|body| body.guarded(guard)))
    }

    /// Submits a call to the router and starts its driver; returns once there is a response or the head of one.
    async fn drive(
        &self,
        call: Arc<Call>,
        span: span::Span,
        gone: cancel::Token,
    ) -> Result<Response<Body>, response::Error> {
        let request = call.request();
        self.offered.record_arrival(&request);
        let admitted = self.router.submit(request).await;
        let admission = admitted.map_err(|refusal| response::Error::Refused { refusal })?;
        let output_tokens = call.completion.as_ref().map_or(0, completion::Request::max_tokens);
        let progress = Progress::new(
            &call.binding.service.settings.limits,
            output_tokens,
            delivered_tokens(&call.headers),
        );
        let (head_sender, response) = oneshot::channel();
        let driver = Driver {
            protocol: self.protocol.clone(),
            router: self.router.clone(),
            offered: self.offered.clone(),
            spans: self.spans.clone(),
            log: self.log.clone(),
            call,
            ticket: admission.ticket,
            race: Race::default(),
            gone,
            output: Output::Head(head_sender),
            progress,
            attempts: 0,
        };
        tokio::spawn(driver.run(admission.updates, span));
        response.await.unwrap_or_else(|_ended| {
            let problem = String::from("the request's driver ended before it returned a response");
            Err(response::Error::TargetFailed { problem })
        })
    }
}

fn check_path(head: &request::Parts, settings: &service::Service) -> Result<(), response::Error> {
    let served = head.method == Method::POST && COMPLETION_PATHS.contains(&head.uri.path());
    match settings.kind {
        service::Kind::Model if !served => Err(response::Error::UnknownPath),
        _ => Ok(()),
    }
}

fn check_model(model: &str, settings: &service::Service) -> Result<(), response::Error> {
    if settings.models.iter().any(|candidate| candidate.name == model) {
        return Ok(());
    }
    Err(response::Error::UnknownModel { model: String::from(model) })
}

/// Returns the response that lists the models of a service.
fn models(binding: &Binding) -> Response<Body> {
    let service = &binding.service;
    let owner = service.owner.partner.to_string();
    let mut names: Vec<&str> =
        service.settings.models.iter().map(|model| model.name.as_str()).collect();
    names.dedup();
    let model =
        |name: &str| Model { id: String::from(name), object: "model", owned_by: owner.clone() };
    let data = names.into_iter().map(model).collect();
    let text = serde_json::to_string(&Models { object: "list", data })
        .expect("invariant: values whose map keys are strings serialise to JSON");
    response::json(StatusCode::OK, text)
}
