//! The caller's end of a stream.

use common::clock::Moment;
use entry::{
    body::{self, Body, Truncated},
    event::Event,
};
use fleet::relay;
use hyper::Response;
use placement::hedge;
use slog::info;
use tokio::sync::oneshot;

use crate::{error::Error, request::Source, stream::Driver};

/// Events that are queued for a caller that reads slowly.
const MAX_QUEUED_EVENTS: usize = 32;

/// The caller's end of the response.
pub(super) enum Output {
    /// The caller waits for the response head.
    Head(oneshot::Sender<Result<Response<Body>, Error>>),
    /// The caller has the head and receives events.
    Events(body::Sender),
    /// The response has ended or the caller has closed the connection.
    Closed,
}

impl Driver {
    /// Forwards the head of a run's response unless the caller has one; fails if the caller has closed the connection.
    pub(super) fn forward_head(&mut self, run: hedge::Run) -> Result<(), Truncated> {
        let Output::Head(_) = self.output else {
            return Ok(());
        };
        let live = self.runs.iter_mut().find(|live| live.run == run);
        let Some(head) = live.and_then(|live| live.head.take()) else {
            return Err(Truncated);
        };
        let (events, body) = Body::stream(MAX_QUEUED_EVENTS);
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = platform::request::end_to_end_headers(&head.headers);
        if self.request.source == Source::Peer
            && let Some(began) = self.request.progress().began.clone()
        {
            response.extensions_mut().insert(relay::Beginning::from(began));
        }
        match std::mem::replace(&mut self.output, Output::Events(events)) {
            Output::Head(caller) => caller.send(Ok(response)).map_err(|_closed| Truncated),
            Output::Events(_) | Output::Closed => Ok(()),
        }
    }

    /// Forwards an event; `false` if the caller has closed the connection.
    pub(super) async fn forward_event(&mut self, event: Event) -> bool {
        self.last_event_id = event.id().or(self.last_event_id);
        self.event_count += 1;
        let now = Moment::now();
        if self.first_event_at.replace(self.first_event_at.unwrap_or(now)).is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.last_event_at));
        }
        self.last_event_at = now;
        match &self.output {
            Output::Events(events) => events.send(event.0).await.is_ok(),
            Output::Head(_) | Output::Closed => false,
        }
    }

    /// Ends the response as complete.
    pub(super) fn finish(&mut self) {
        if let Output::Events(events) = std::mem::replace(&mut self.output, Output::Closed) {
            events.finish();
        }
    }

    pub(super) fn fail(&mut self, error: Error) {
        match std::mem::replace(&mut self.output, Output::Closed) {
            Output::Head(caller) => {
                // The target's error says more than that no target gave a response.
                let response = match (error, self.error_response.take()) {
                    (Error::TargetFailed, Some(response)) => Ok(response.into_response()),
                    (error, _) => Err(error),
                };
                let _closed = caller.send(response);
            }
            // Dropping the sender truncates the response.
            Output::Events(_) => {
                let cause = self.cause.map(|cause| cause.to_string()).unwrap_or_default();
                metrics::counter!("daisydrum_streams_cut_total", "cause" => cause.clone())
                    .increment(1);
                info!(self.request.gateway.log, "stream_cut"; "id" => &self.request.metadata.id,
                    "route" => &self.request.route().name, "runs" => self.request.progress().runs,
                    "last_event" => ?self.last_event_id, "cause" => cause,
                    "denied" => self.denied.take().unwrap_or_default(),
                    "ms" => self.request.age_ms(), "fault" => %error,
                    "config" => self.request.config.version);
            }
            Output::Closed => {}
        }
    }
}
