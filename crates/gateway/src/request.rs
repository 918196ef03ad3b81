//! A caller's request while it is served: selects targets, sends attempts and limits retries, for both kinds of
//! delivery.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use common::{clock::Moment, name};
use fleet::config::{Config, Retry, Route};
use http_body_util::{Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming};
use placement::{
    balancer::{
        Balancer, Key,
        selection::{Criteria, Decision, Plan, Prefill, Reason, Refusal},
    },
    health::Outcome,
    quarantine::Trials,
};
use platform::request::{Attempt, Metadata, Step};
use slog::info;

use crate::{
    connection::{self, Connection},
    dispatch::{Admission, Destination, Dispatch},
    error::Error,
    pool::{Origin, Reuse},
    state::{Gateway, ms},
};

/// Rejections by targets after which a request is refused; each draws on the fleet's budget.
const MAX_REJECTIONS: u32 = 3;
/// Unreachable targets after which a request is refused; each costs at most the connect timeout of 200 ms.
const MAX_UNREACHED: u32 = 5;
/// A request that arrives with less than this share of its route's timeout is taken for one that was refused before
/// and is sent again by its caller.
const NEW_REQUEST_SHARE: f64 = 0.9;
/// Time that a response needs on its way back to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Limit of the response to the release of a computed prompt, in bytes.
const MAX_RELEASE_BYTES: usize = 4 * 1024;
/// Retry-After where targets rejected a request or could not be reached.
const TARGETS_FULL_RETRY: Duration = Duration::from_millis(250);

/// A caller's request while it is served.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) config: Arc<Config>,
    /// Index of the route in the configuration.
    pub(crate) route: usize,
    pub(crate) metadata: Metadata,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Moment,
    /// When the response must be complete.
    pub(crate) deadline: Moment,
    /// Hash of the id of the request, or of the one that began its stream, so that all attempts try the services of a
    /// split route in the same order.
    pub(crate) draw: u64,
}

/// What happened in the attempts of a request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Targets that failed, rejected it or could not be reached.
    pub(crate) avoid: Vec<Key>,
    /// Times that the request ran or may have run, besides separate prefills.
    pub(crate) runs: u32,
    /// Rejections by targets that did not run it.
    pub(crate) rejections: u32,
    /// Prefills sent to another engine than the one that decodes, which may have accepted them.
    pub(crate) prefills: u32,
    /// Whether an engine has accepted one of them; until then each counts as a send.
    prefill_accepted: bool,
    /// Sends to targets that count for the retry budget.
    sends: u32,
    /// Whether the request was added to the retry budget.
    counted: bool,
    /// Sends that the retry budget has paid for, including the first one, which is free.
    budgeted: u32,
    /// Connections that could not be made.
    pub(crate) unreached: u32,
    /// Where the stream began, at which alone it may go on.
    pub(crate) began: Option<Beginning>,
}

/// Where a stream began.
#[derive(Clone, Debug)]
pub(crate) struct Beginning {
    /// The service; `None` if the route's only one.
    pub(crate) service: Option<name::Service>,
    pub(crate) software: name::Software,
}

impl Progress {
    /// Records that an engine has accepted a prefill: the first one belongs to the run that follows it.
    pub(crate) fn record_prefill_accepted(&mut self) {
        if !std::mem::replace(&mut self.prefill_accepted, true) {
            self.sends = self.sends.saturating_sub(1);
        }
    }

    /// Attempts used up: the first separate prefill belongs to the run that follows it, further ones count.
    fn attempts(&self) -> u32 {
        self.runs + self.prefills.saturating_sub(1)
    }
}

/// Whether a target ran the request of an attempt.
pub(crate) enum Execution {
    /// The target responded; the body is yet to be read.
    Responded(Response<Incoming>, Connection),
    /// The target did not run the request.
    NotRun,
    /// The target may have run the request.
    MayHaveRun,
    /// The connection was lost; the target may have run the request.
    Disconnected,
}

impl Pending {
    pub(crate) fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    /// The service of the route, if it has only one.
    pub(crate) fn sole_service(&self) -> Option<&name::Service> {
        match self.route().service_order(self.draw)[..] {
            [service] => Some(service),
            _ => None,
        }
    }

    /// Whether all targets that may serve the request have had one software version lately.
    pub(crate) fn sole_version(&self) -> Option<name::Software> {
        self.gateway.origins.sole_version(self.sole_service()?)
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(Moment::now())
    }

    /// Selects a target, pays for the send from the retry budget and counts the request at the target.
    pub(crate) fn dispatch(&self, progress: &mut Progress) -> Result<Dispatch, Error> {
        if progress.rejections >= MAX_REJECTIONS || progress.unreached >= MAX_UNREACHED {
            return Err(self.targets_full());
        }
        let now = Moment::now();
        let mut balancer = self.gateway.balancer();
        let order = self.route().service_order(self.draw);
        let served = order.iter().find(|service| balancer.serves(service)).or(order.first());
        let began = progress.began.as_ref().and_then(|began| began.service.as_ref());
        let Some(service) = began.or(served.copied()).cloned() else {
            return Err(self.targets_full());
        };
        let counted = std::mem::replace(&mut progress.counted, true);
        let mut criteria = self.criteria(&service, progress);
        let mut plan = self.choose(&mut balancer, &criteria, now)?;
        if !counted {
            self.gateway.count_request(&service);
        }
        let admission = self.admit(&balancer, &service, now)?;
        // The first send is free; targets that could not be reached have cost nothing.
        let mut budgeted = progress.budgeted.max(1);
        let sends = progress.sends + 1;
        let prefills_again = plan.prefill.is_some() && progress.prefills > 0;
        if prefills_again && !self.spend_retries(&service, &mut budgeted, sends + 1) {
            criteria.prefill = Prefill::AtTarget;
            plan = self.choose(&mut balancer, &criteria, now)?;
        }
        if !self.spend_retries(&service, &mut budgeted, sends) {
            return Err(self.targets_full());
        }
        let (number, notices) = balancer.record_dispatch(&plan, &criteria, now);
        progress.budgeted = budgeted;
        drop(balancer);
        self.gateway.notify_peers(notices);
        let gateway = Arc::clone(&self.gateway);
        let dispatch = Dispatch::new(gateway, plan, number, &self.metadata, admission, now);
        dispatch.log_placement(
            &self.route().name,
            progress.runs + progress.rejections + 1,
            self.remaining(),
        );
        Ok(dispatch)
    }

    fn choose(
        &self,
        balancer: &mut Balancer,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Result<Plan, Error> {
        match balancer.choose(criteria, now) {
            Decision::Send(plan) => Ok(plan),
            Decision::Refuse(refusal) => Err(Error::Refused(refusal)),
        }
    }

    /// Admits the request unless engines end on a part of its prompt.
    fn admit(
        &self,
        balancer: &Balancer,
        service: &name::Service,
        now: Moment,
    ) -> Result<Admission, Error> {
        let trials = |part| {
            if balancer.fleet().is_first(part) { Trials::Allowed } else { Trials::Denied }
        };
        let shared = self.metadata.shared_parts();
        match self.gateway.quarantine.admit(service, shared, trials, now) {
            Ok(ticket) => Ok(Admission { service: service.clone(), ticket }),
            Err(retry_after) => Err(Error::Refused(Refusal {
                reason: Reason::Quarantined,
                retry_after,
                expected: None,
            })),
        }
    }

    /// Takes retries out of the budget until it has paid for this many sends; `false` if it runs out.
    fn spend_retries(&self, service: &name::Service, budgeted: &mut u32, sends: u32) -> bool {
        while *budgeted < sends {
            if !self.gateway.take_retry(service) {
                return false;
            }
            *budgeted += 1;
        }
        true
    }

    /// Selects again the target that takes over a computed prompt; `false` if there is none.
    pub(crate) fn choose_receiver(
        &self,
        dispatch: &mut Dispatch,
        from: Key,
        progress: &Progress,
    ) -> bool {
        let now = Moment::now();
        let mut balancer = self.gateway.balancer();
        let Some(service) = balancer.entry(from).map(|entry| entry.target.service.clone()) else {
            return false;
        };
        let mut criteria = self.criteria(&service, progress);
        criteria.permitted = Some(dispatch.plan.target);
        let Some(receiver) = balancer.choose_receiver(from, &criteria, now) else {
            return false;
        };
        if receiver != dispatch.plan.target {
            balancer.redirect(dispatch.plan.target, receiver, now);
            dispatch.plan.target = receiver;
        }
        true
    }

    fn criteria<'a>(&'a self, service: &'a name::Service, progress: &'a Progress) -> Criteria<'a> {
        let route = self.route();
        let remaining = self.remaining();
        let is_retry = remaining < route.timeout.mul_f64(NEW_REQUEST_SHARE) || progress.runs > 0;
        // A retry by the caller or after a run has missed the target latency already; it is served until its deadline.
        let target_latency = if is_retry { remaining } else { route.target_latency };
        Criteria {
            service,
            parts: &self.metadata.parts,
            prompt_tokens: u64::from(self.metadata.prompt_tokens),
            output_tokens: u64::from(self.metadata.output_tokens.max(1)),
            target_latency,
            remaining,
            software: progress.began.as_ref().map(|began| &began.software),
            avoid: &progress.avoid,
            permitted: None,
            retry: route.retry,
            prefill: if self.may_prefill_separately(progress) {
                Prefill::Anywhere
            } else {
                Prefill::AtTarget
            },
        }
    }

    fn targets_full(&self) -> Error {
        let retry_after = TARGETS_FULL_RETRY.min(self.remaining() / 3);
        Error::Refused(Refusal { reason: Reason::TargetsFull, retry_after, expected: None })
    }

    /// Whether another engine may compute the prompt: once, and again while attempts are left for it and the run.
    fn may_prefill_separately(&self, progress: &Progress) -> bool {
        let route = self.route();
        progress.prefills == 0
            || (route.retry != Retry::Never
                && progress.runs + progress.prefills < route.max_attempts)
    }

    /// Whether another run is allowed after one that failed.
    pub(crate) fn may_retry(&self, progress: &Progress) -> bool {
        let route = self.route();
        route.retry != Retry::Never
            && progress.attempts() < route.max_attempts
            && self.remaining() > RESPONSE_MARGIN
    }

    /// Whether another run would be allowed if the next one fails.
    pub(crate) fn may_retry_after_next(&self, progress: &Progress) -> bool {
        let route = self.route();
        route.retry != Retry::Never && progress.attempts() + 1 < route.max_attempts
    }

    /// Sends the request to a target and waits for the response head.
    pub(crate) async fn send(
        &self,
        dispatch: &Dispatch,
        key: Key,
        progress: &mut Progress,
        step: Step,
        resume_after: Option<u64>,
    ) -> Execution {
        let Some(destination) = dispatch.destination(key) else {
            return Execution::NotRun;
        };
        let retryable = step == Step::Prefill || self.may_retry_after_next(progress);
        let reuse = if retryable { Reuse::Any } else { Reuse::IfRecentlyActive };
        loop {
            let (connection, origin) =
                match self.gateway.pool.take(destination.address, reuse).await {
                    Ok(taken) => taken,
                    Err(error) => {
                        progress.avoid.push(key);
                        progress.unreached += 1;
                        return self.record_unreachable(dispatch, key, &destination, &error);
                    }
                };
            progress.sends += 1;
            let prefix_source =
                dispatch.plan.prefix_source.filter(|_| !matches!(step, Step::Decode { .. }));
            let attempt = Attempt {
                target: destination.name.clone(),
                remaining: self.remaining(),
                priority: self.route().priority,
                resume_after,
                prefix_source: prefix_source
                    .and_then(|key| dispatch.destination(key))
                    .map(|holder| holder.address),
                step: step.clone(),
            };
            let outgoing = self.outgoing(&attempt);
            match self.exchange(dispatch, key, connection, outgoing).await {
                // The target closed a reused connection before any byte was sent: send again.
                Err(connection::Error::NotSent(_)) if origin == Origin::Reused => {
                    progress.sends = progress.sends.saturating_sub(1);
                }
                Err(error) => {
                    info!(self.gateway.log, "attempt_failed"; "id" => &self.metadata.id,
                        "target" => %destination.name, "parts" => self.metadata.shared_part_ids(),
                        "fault" => %error);
                    dispatch.record_outcome(key, Outcome::Broken);
                    progress.avoid.push(key);
                    return Execution::Disconnected;
                }
                Ok(execution) => {
                    if matches!(execution, Execution::NotRun) {
                        progress.rejections += 1;
                    }
                    if !matches!(execution, Execution::Responded(..)) {
                        progress.avoid.push(key);
                    }
                    return execution;
                }
            }
        }
    }

    fn record_unreachable(
        &self,
        dispatch: &Dispatch,
        key: Key,
        destination: &Destination,
        error: &connection::Error,
    ) -> Execution {
        info!(self.gateway.log, "target_not_reached"; "id" => &self.metadata.id,
            "target" => %destination.name, "fault" => %error);
        dispatch.record_outcome(key, Outcome::Unreached);
        Execution::NotRun
    }

    async fn exchange(
        &self,
        dispatch: &Dispatch,
        key: Key,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Execution, connection::Error> {
        let sent_at = Moment::now();
        let response = connection.send(request).await?;
        if let Some(destination) = dispatch.destination(key) {
            self.gateway.pool.mark_alive(destination.address);
        }
        let (status, headers) = (response.status(), response.headers());
        if !platform::response::matches_request(headers, &self.metadata.id) {
            // A surplus response to an earlier request: the response to this one can't be identified any more.
            info!(self.gateway.log, "answer_of_another_request"; "id" => &self.metadata.id);
            dispatch.record_outcome(key, Outcome::Error);
            return Ok(Execution::MayHaveRun);
        }
        if !platform::response::is_misdirected(status) {
            dispatch.record_report(key, &platform::response::report(status, headers), sent_at);
        }
        if platform::response::is_not_run(status, headers) {
            let misdirected = platform::response::is_misdirected(status);
            info!(self.gateway.log, "target_refused"; "id" => &self.metadata.id,
                "status" => status.as_u16());
            dispatch
                .record_outcome(key, if misdirected { Outcome::Broken } else { Outcome::Refusal });
            return Ok(Execution::NotRun);
        }
        Ok(Execution::Responded(response, connection))
    }

    fn outgoing(&self, attempt: &Attempt) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = platform::request::forwarded_headers(&self.headers, attempt);
        request
    }

    /// Releases a computed prompt that no target will take over; where that fails, the engine's handle expires.
    pub(crate) fn release_handle(&self, address: SocketAddr, handle: &str) {
        let pool = self.gateway.pool.clone();
        let path = platform::engine::handle_path(handle);
        let host = address.to_string();
        tokio::spawn(async move {
            let Ok((mut connection, _)) = pool.take(address, Reuse::Any).await else {
                return;
            };
            let request = Request::builder()
                .method(Method::DELETE)
                .uri(path)
                .header(hyper::header::HOST, host)
                .body(Full::default());
            let Ok(request) = request else {
                return;
            };
            let limit = Duration::from_secs(1);
            if let Ok(Ok(response)) = tokio::time::timeout(limit, connection.send(request)).await {
                let body = Limited::new(response.into_body(), MAX_RELEASE_BYTES);
                let drained = http_body_util::BodyExt::collect(body);
                if tokio::time::timeout(limit, drained).await.is_ok_and(|body| body.is_ok()) {
                    pool.put(address, connection);
                }
            }
        });
    }

    /// Milliseconds on the instance's clock.
    pub(crate) fn now_ms(&self) -> f64 {
        Moment::now().0 as f64
    }

    /// Milliseconds since the request arrived.
    pub(crate) fn age_ms(&self) -> u64 {
        ms(Moment::now().since(self.arrived))
    }
}
