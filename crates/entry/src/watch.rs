//! Detects that a target has been silent for too long.
//!
//! When the limit has passed, the target is probed over a new connection. If it doesn't respond, it counts as silent at
//! once. If it does, it may only be busy, and has the same time once more.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::{self, Instant, Sleep};
use tokio_util::task::AbortOnDropHandle;

use crate::connection;

/// A target has been silent for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Silent;

/// Watches one attempt.
#[derive(Debug)]
pub(crate) struct Watch {
    limit: Duration,
    last_progress: Instant,
    timer: Pin<Box<Sleep>>,
    state: State,
}

#[derive(Debug)]
enum State {
    /// The limit has not passed.
    Waiting,
    /// The limit has passed and the target is probed.
    Probing(AbortOnDropHandle<bool>),
    /// The target has responded to the probe, and the limit has not passed since.
    Responsive,
    /// The target was reported as silent.
    Reported,
}

impl Watch {
    /// Creates a watch with a limit in milliseconds.
    pub(crate) fn new(limit_ms: u64) -> Watch {
        let limit = Duration::from_millis(limit_ms);
        Watch {
            limit,
            last_progress: Instant::now(),
            timer: Box::pin(time::sleep(limit)),
            state: State::Waiting,
        }
    }

    /// Records that the target has sent something.
    pub(crate) fn touch(&mut self) {
        self.last_progress = Instant::now();
        if !matches!(self.state, State::Waiting) {
            self.state = State::Waiting;
        }
    }

    /// Polls whether the target has been silent for too long; ready once for each silence.
    ///
    /// `probe` returns the request to which a live target responds at once; without one, accepting a connection is
    /// enough.
    pub(crate) fn poll_silence(
        &mut self,
        address: SocketAddr,
        probe: impl Fn() -> Option<Request<Full<Bytes>>>,
        context: &mut Context<'_>,
    ) -> Poll<Silent> {
        loop {
            match &mut self.state {
                State::Waiting => {
                    let due = self.last_progress + self.limit;
                    ready!(poll_until(&mut self.timer, due, context));
                    metrics::counter!("daisydrum_silent_attempts_total").increment(1);
                    let probing = tokio::spawn(is_alive(address, probe()));
                    self.state = State::Probing(AbortOnDropHandle::new(probing));
                }
                State::Probing(probing) => {
                    if !ready!(Pin::new(probing).poll(context)).unwrap_or(false) {
                        self.state = State::Reported;
                        return Poll::Ready(Silent);
                    }
                    self.timer.as_mut().reset(Instant::now() + self.limit);
                    self.state = State::Responsive;
                }
                State::Responsive => {
                    ready!(self.timer.as_mut().poll(context));
                    self.state = State::Reported;
                    return Poll::Ready(Silent);
                }
                State::Reported => return Poll::Pending,
            }
        }
    }
}

/// Polls until a time, which may have moved since the timer was set.
fn poll_until(timer: &mut Pin<Box<Sleep>>, due: Instant, context: &mut Context<'_>) -> Poll<()> {
    while timer.as_mut().poll(context).is_ready() {
        if Instant::now() >= due {
            return Poll::Ready(());
        }
        timer.as_mut().reset(due);
    }
    Poll::Pending
}

/// Returns whether a target responds to a request, or accepts a connection if there is none.
async fn is_alive(address: SocketAddr, request: Option<Request<Full<Bytes>>>) -> bool {
    match request {
        Some(request) => connection::probe(address, request).await,
        None => connection::accepts(address).await,
    }
}
