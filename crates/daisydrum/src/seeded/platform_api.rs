//! Calls to the platform's API on behalf of the fleet, by the one instance that holds the duties.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Map};
use gateway::connection::{Connection, Error};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header::HOST};
use platform::duty::{self, Call};
use settings::seeded::PlatformApi;
use slog::info;
use tokio::{sync, time};

use crate::seeded::{
    authority::{Authority, HANDOVER_MARGIN, HANDOVER_WAIT, Permit},
    context::Context,
};

/// Longest time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the calls that the API accepts which one holder makes: after a change of the holder, calls of both may
/// count in the same second.
const CALL_SHARE: f64 = 0.5;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The platform accepted it.
    Accepted,
    /// The platform refused it.
    Refused(StatusCode),
    /// The platform accepts no more calls for now.
    Throttled,
    /// It was not answered in time or failed while it was sent; it may have been accepted, or may be later.
    Unanswered,
    /// It was not sent: this instance doesn't hold the right to.
    NotHolder,
}

/// Client of the platform's API; clones share its limits.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    context: Context,
    settings: PlatformApi,
    authority: Authority,
    started: Moment,
    /// When the next call may be sent.
    next_call: Arc<Mutex<Moment>>,
    subjects: Arc<Mutex<Map<String, Subject>>>,
}

/// Held during a call of a subject; the time from which no earlier call of the subject can still arrive.
type Subject = Arc<sync::Mutex<Moment>>;

impl Client {
    /// Creates the client; `None` if the settings name no API.
    pub(crate) fn new(context: &Context, authority: &Authority) -> Option<Client> {
        Some(Client {
            context: context.clone(),
            settings: context.settings.platform_api?,
            authority: authority.clone(),
            started: Moment::now(),
            next_call: Arc::default(),
            subjects: Arc::default(),
        })
    }

    /// Whether this instance holds the duties or may claim them.
    pub(crate) fn may_hold(&self) -> bool {
        self.authority.may_claim()
    }

    /// Claims the right to call, checks it and sends one call. Waits until the call's turn within the limit on the rate,
    /// and until no unanswered call of the same subject can arrive after this one.
    pub(crate) async fn call(&self, call: Call) -> Outcome {
        let subject = self.subject(call.subject());
        let mut free_at = subject.lock().await;
        sleep_until(*free_at).await;
        sleep_until(self.take_turn()).await;
        let outcome = match self.acquire().await {
            Some(permit) => self.send(&call, permit).await,
            None => Outcome::NotHolder,
        };
        if outcome == Outcome::Unanswered {
            *free_at = Moment::now() + HANDOVER_MARGIN;
        }
        metrics::counter!("daisydrum_platform_calls_total", "outcome" => outcome.label())
            .increment(1);
        // A new holder asks again and again until it may call.
        if outcome != Outcome::NotHolder {
            info!(self.context.log, "platform_called"; "subject" => call.subject(),
                "outcome" => ?outcome);
        }
        outcome
    }

    /// Claims the right to call. A process that has just started waits as a new holder does: it doesn't know the calls
    /// of an earlier process of the same instance.
    async fn acquire(&self) -> Option<Permit> {
        if Moment::now() < self.started + HANDOVER_WAIT {
            return None;
        }
        self.authority.acquire(HANDOVER_WAIT).await
    }

    async fn send(&self, call: &Call, permit: Permit) -> Outcome {
        let Some(request) = self.request(call, permit) else {
            return Outcome::Refused(StatusCode::BAD_REQUEST);
        };
        let source = self.context.settings.targets_source;
        let Ok(mut connection) = Connection::open_for_order(self.settings.address, source).await
        else {
            return Outcome::Unanswered;
        };
        // Checked immediately before sending, since the process may have been suspended after it claimed the right.
        if Moment::now() >= permit.until {
            return Outcome::NotHolder;
        }
        match time::timeout(CALL_TIMEOUT, connection.send(request)).await {
            Ok(Ok(response)) => outcome(response.status()),
            Ok(Err(
                Error::NotSent(_) | Error::Refused(_) | Error::Slow(_) | Error::MaybeSent(_),
            ))
            | Err(_) => Outcome::Unanswered,
        }
    }

    fn request(&self, call: &Call, permit: Permit) -> Option<Request<Full<bytes::Bytes>>> {
        let mut request = Request::new(Full::new(duty::encode(call).into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = call.path().parse().ok()?;
        *request.headers_mut() = duty::headers(&self.context.settings.name, permit.fence)?;
        request.headers_mut().insert(HOST, self.settings.address.to_string().parse().ok()?);
        Some(request)
    }

    /// The moment at which the next call may be sent; the one after it follows at the allowed rate.
    fn take_turn(&self) -> Moment {
        let interval = Duration::from_secs_f64(1.0 / (self.settings.calls_per_s * CALL_SHARE));
        let mut next = self.next_call.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = (*next).max(Moment::now());
        *next = turn + interval;
        turn
    }

    fn subject(&self, subject: String) -> Subject {
        let mut subjects = self.subjects.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(subjects.entry(subject).or_default())
    }
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Outcome::Accepted => "accepted",
            Outcome::Refused(_) => "refused",
            Outcome::Throttled => "throttled",
            Outcome::Unanswered => "unanswered",
            Outcome::NotHolder => "not_holder",
        }
    }
}

fn outcome(status: StatusCode) -> Outcome {
    match status {
        status if status.is_success() => Outcome::Accepted,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Throttled,
        status => Outcome::Refused(status),
    }
}

async fn sleep_until(moment: Moment) {
    time::sleep(moment.since(Moment::now())).await;
}
