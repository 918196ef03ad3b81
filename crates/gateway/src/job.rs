//! A caller's request on its way, and what both forms of answers share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use common::{clock::Moment, name};
use fleet::config::{Config, Retry, Route};
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming};
use placement::{
    balancer::{
        Balancer, Key,
        selection::{Criteria, Decision, Plan, Prefill, Reason, Refusal},
    },
    health::Outcome,
};
use platform::request::{Attempt, Metadata, Step};
use slog::info;

use crate::{
    connection::{self, Connection},
    error::Error,
    pool::{Origin, Reuse},
    sent::{Place, Sent},
    state::{Gateway, ms},
};

/// Rejections by targets after which a request is refused; each draws on the fleet's budget.
const MAX_REJECTIONS: u32 = 3;
/// Targets that can't be reached after which a request is refused; each costs a fifth of a second at most.
const MAX_UNREACHED: u32 = 5;
/// Requests that were refused once come back with less than this share of their route's time.
const FRESH_SHARE: f64 = 0.9;
/// Time that an answer needs on its way back to the caller.
const RETURN_TIME: Duration = Duration::from_millis(20);
/// Pause that is asked for where targets rejected a request.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// A caller's request on its way.
#[derive(Debug)]
pub(crate) struct Job {
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
    /// When the answer must have ended.
    pub(crate) deadline: Moment,
    /// Chosen at random once, so that all attempts try the services of a split route in the same order.
    pub(crate) draw: u64,
}

/// What happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    /// Targets that have failed or rejected it.
    pub(crate) avoid: Vec<Key>,
    /// Runs that were begun, or may have been.
    pub(crate) runs: u32,
    /// Rejections by targets that did not run it.
    pub(crate) rejections: u32,
    /// Calls that only compute the prompt and that an engine may have taken.
    pub(crate) prefills: u32,
    /// Requests sent to targets, for the budget of repeats.
    arrivals: u32,
    /// Whether the request is counted for the budget of repeats.
    counted: bool,
    /// Requests sent to targets that the budget of repeats has covered, the first one included.
    covered: u32,
    /// Connections that could not be made.
    pub(crate) unreached: u32,
}

impl Trail {
    /// Attempts that are used up: the first call that only computes the prompt is none, further ones are.
    fn attempts(&self) -> u32 {
        self.runs + self.prefills.saturating_sub(1)
    }
}

/// A head that came back, or why none did.
pub(crate) enum Reply {
    /// The head of an answer.
    Head(Response<Incoming>, Connection),
    /// The target did not run the request.
    NotRun,
    /// The target may have run the request.
    Broken,
}

impl Job {
    pub(crate) fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(Moment::now())
    }

    /// Chooses a target and counts the request there.
    pub(crate) fn place(&self, trail: &mut Trail) -> Result<Sent, Error> {
        if trail.rejections >= MAX_REJECTIONS || trail.unreached >= MAX_UNREACHED {
            return Err(self.full());
        }
        let now = Moment::now();
        let mut balancer = self.gateway.balancer();
        let order = self.route().service_order(self.draw);
        let served = order.iter().find(|service| balancer.serves(service)).or(order.first());
        let Some(service) = served.copied().cloned() else {
            return Err(self.full());
        };
        let counted = std::mem::replace(&mut trail.counted, true);
        let mut criteria = self.criteria(&service, trail);
        let mut plan = self.choose(&mut balancer, &criteria, now)?;
        if !counted {
            self.gateway.count_request(&service);
        }
        // A request that reached no target has used nothing of the budget.
        let mut covered = trail.covered.max(1);
        let run = trail.arrivals + 1;
        let again = plan.prefill.is_some() && trail.prefills > 0;
        if again && !self.cover(&service, &mut covered, run + 1) {
            criteria.prefill = Prefill::AtTarget;
            plan = self.choose(&mut balancer, &criteria, now)?;
        }
        if !self.cover(&service, &mut covered, run) {
            return Err(self.full());
        }
        let (number, told) = balancer.record_dispatch(&plan, &criteria, now);
        trail.covered = covered;
        drop(balancer);
        self.gateway.tell(told);
        let sent = Sent::new(Arc::clone(&self.gateway), plan, number, &self.metadata, now);
        sent.log_place(&self.route().name, trail.runs + trail.rejections + 1, self.remaining());
        Ok(sent)
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

    /// Takes repeats out of the budget until `arrivals` requests to targets are covered; `false` if it has too few.
    fn cover(&self, service: &name::Service, covered: &mut u32, arrivals: u32) -> bool {
        while *covered < arrivals {
            if !self.gateway.take_repeat(service) {
                return false;
            }
            *covered += 1;
        }
        true
    }

    /// Chooses anew where a computed prompt is moved to; `false` if there is no target for it.
    pub(crate) fn choose_receiver(&self, sent: &mut Sent, from: Key, trail: &Trail) -> bool {
        let now = Moment::now();
        let mut balancer = self.gateway.balancer();
        let Some(service) = balancer.entry(from).map(|entry| entry.target.service.clone()) else {
            return false;
        };
        let criteria = self.criteria(&service, trail);
        let Some(receiver) = balancer.choose_receiver(from, &criteria, now) else {
            return false;
        };
        if receiver != sent.plan.target {
            balancer.redirect(sent.plan.target, receiver, now);
            sent.plan.target = receiver;
        }
        true
    }

    fn criteria<'a>(&'a self, service: &'a name::Service, trail: &'a Trail) -> Criteria<'a> {
        let route = self.route();
        let remaining = self.remaining();
        let returned = remaining < route.timeout.mul_f64(FRESH_SHARE) || trail.runs > 0;
        // A request that has come back, or has begun, can't be in time any more; it is served while it can be.
        let target_latency = if returned { remaining } else { route.target_latency };
        Criteria {
            service,
            parts: &self.metadata.parts,
            prompt_tokens: u64::from(self.metadata.prompt_tokens),
            output_tokens: u64::from(self.metadata.output_tokens.max(1)),
            target_latency,
            remaining,
            avoid: &trail.avoid,
            retry: route.retry,
            prefill: if self.may_compute_apart(trail) {
                Prefill::Anywhere
            } else {
                Prefill::AtTarget
            },
        }
    }

    fn full(&self) -> Error {
        let retry_after = FULL_RETRY.min(self.remaining() / 3);
        Error::Refused(Refusal { reason: Reason::TargetsFull, retry_after, expected: None })
    }

    /// Whether the prompt may be computed apart: once, or once more for each attempt that is left beside a run.
    fn may_compute_apart(&self, trail: &Trail) -> bool {
        let route = self.route();
        trail.prefills == 0
            || (route.retry != Retry::Never && trail.runs + trail.prefills < route.max_attempts)
    }

    /// Whether another run is allowed after one that failed.
    pub(crate) fn may_run_again(&self, trail: &Trail) -> bool {
        let route = self.route();
        route.retry != Retry::Never
            && trail.attempts() < route.max_attempts
            && self.remaining() > RETURN_TIME
    }

    /// Whether another run would be allowed if the next one fails.
    pub(crate) fn may_run_again_after_next(&self, trail: &Trail) -> bool {
        let route = self.route();
        route.retry != Retry::Never && trail.attempts() + 1 < route.max_attempts
    }

    /// Sends the request to a target and waits for the head of the answer.
    pub(crate) async fn call(
        &self,
        sent: &Sent,
        key: Key,
        trail: &mut Trail,
        step: Step,
        resume_after: Option<u64>,
    ) -> Reply {
        let Some(place) = sent.place(key) else {
            return Reply::NotRun;
        };
        let repairable = step == Step::Prefill || self.may_run_again_after_next(trail);
        let reuse = if repairable { Reuse::Any } else { Reuse::IfRecentlyActive };
        loop {
            let (connection, origin) = match self.gateway.pool.take(place.address, reuse).await {
                Ok(taken) => taken,
                Err(fault) => {
                    trail.avoid.push(key);
                    trail.unreached += 1;
                    return self.not_connected(sent, key, &place, &fault);
                }
            };
            // The first call that only computes the prompt is no repeat of the run that follows.
            if step != Step::Prefill || trail.prefills > 1 {
                trail.arrivals += 1;
            }
            let prefix_source =
                sent.plan.prefix_source.filter(|_| !matches!(step, Step::Decode { .. }));
            let attempt = Attempt {
                target: place.name.clone(),
                remaining: self.remaining(),
                priority: self.route().priority,
                resume_after,
                prefix_source: prefix_source
                    .and_then(|key| sent.place(key))
                    .map(|holder| holder.address),
                step: step.clone(),
            };
            let request = self.request(&attempt);
            match self.exchange(sent, key, connection, request).await {
                // The target had closed a kept connection before any byte left.
                Err(connection::Error::NotSent(_)) if origin == Origin::Reused => {
                    trail.arrivals = trail.arrivals.saturating_sub(1);
                }
                Err(fault) => {
                    info!(self.gateway.log, "attempt_failed"; "id" => &self.metadata.id,
                        "target" => %place.name, "fault" => %fault);
                    sent.judge(key, Outcome::Broken);
                    trail.avoid.push(key);
                    return Reply::Broken;
                }
                Ok(reply) => {
                    if matches!(reply, Reply::NotRun) {
                        trail.rejections += 1;
                    }
                    if !matches!(reply, Reply::Head(..)) {
                        trail.avoid.push(key);
                    }
                    return reply;
                }
            }
        }
    }

    fn not_connected(
        &self,
        sent: &Sent,
        key: Key,
        place: &Place,
        fault: &connection::Error,
    ) -> Reply {
        info!(self.gateway.log, "target_not_reached"; "id" => &self.metadata.id,
            "target" => %place.name, "fault" => %fault);
        sent.judge(key, Outcome::Unreached);
        Reply::NotRun
    }

    async fn exchange(
        &self,
        sent: &Sent,
        key: Key,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, connection::Error> {
        let response = connection.send(request).await?;
        if let Some(place) = sent.place(key) {
            self.gateway.pool.mark_alive(place.address);
        }
        let (status, headers) = (response.status(), response.headers());
        if !platform::response::matches_request(headers, &self.metadata.id) {
            // An extra answer to an earlier request; the one to this request can't be told apart any more.
            info!(self.gateway.log, "answer_of_another_request"; "id" => &self.metadata.id);
            sent.judge(key, Outcome::Error);
            return Ok(Reply::Broken);
        }
        if platform::response::is_not_run(status, headers) {
            let other = platform::response::is_misdirected(status);
            info!(self.gateway.log, "target_refused"; "id" => &self.metadata.id, "status" => status.as_u16());
            sent.judge(key, if other { Outcome::Broken } else { Outcome::Refusal });
            return Ok(Reply::NotRun);
        }
        Ok(Reply::Head(response, connection))
    }

    fn request(&self, attempt: &Attempt) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = platform::request::forwarded_headers(&self.headers, attempt);
        request
    }

    /// Gives up a computed prompt that nothing will fetch; a target that isn't reached forgets it by itself.
    pub(crate) fn release(&self, address: SocketAddr, handle: &str) {
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
                let drained = http_body_util::BodyExt::collect(response.into_body());
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
