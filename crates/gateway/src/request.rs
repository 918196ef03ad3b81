//! A caller's request while it is served: selects targets, sends attempts and limits retries, for both kinds of
//! delivery.

mod admission;
mod consult;
mod held;
mod metering;
mod origin;
mod permission;
mod relayed;
mod send;

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use common::{clock::Moment, name};
use fleet::config::{Config, Retry, Route};
use hyper::{HeaderMap, Method, Response, Uri, body::Incoming};
use placement::{
    balancer::{
        Balancer, Key,
        selection::{Criteria, Decision, Plan, Prefill, Reason, Refusal},
    },
    health::Outcome,
    hedge::Another,
    quarantine::request::Content,
};
use platform::request::Metadata;
use slog::info;

use self::consult::Unused;
pub(crate) use self::{held::Held, relayed::Passed};
use crate::{
    access::Permission,
    connection::Connection,
    dispatch::Dispatch,
    error::Error,
    metric,
    progress::{Claim, Progress, Shared},
    relay::{Assignment, CUT_OFF_RETRY, MAX_RELAYS},
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
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Retry-After where targets rejected a request, could not be reached or did not respond.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A caller's request while it is served.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) config: Arc<Config>,
    /// Index of the route in the configuration.
    pub(crate) route: usize,
    pub(crate) metadata: Metadata,
    /// What the request has in common with those that its caller sends in its place.
    pub(crate) content: Content,
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
    pub(crate) source: Source,
    /// Who makes it.
    pub(crate) permission: Permission,
    /// Runs that it may have: those of its route, or one at the instance that a peer passes it to.
    pub(crate) max_attempts: u32,
    /// What happened in its attempts so far.
    pub(crate) progress: Shared,
    /// The connection of its caller, unless a peer passed it on.
    pub(crate) connection: Option<memory::budget::Connection>,
    /// What it occupies at the instance, unless a peer passed it on.
    pub(crate) held: Option<Held>,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Caller,
    /// A peer that is cut off from the service; the request is not passed on again.
    Peer,
}

/// Where an attempt goes.
pub(crate) enum Hop {
    Target(Dispatch),
    Peer(Assignment),
}

impl Hop {
    /// The target, unless a peer selects it.
    pub(crate) fn target(&self) -> Option<Key> {
        match self {
            Hop::Target(dispatch) => Some(dispatch.plan.target),
            Hop::Peer(_) => None,
        }
    }
}

/// Which targets an attempt may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Among {
    All,
    /// Those over whose open connections something arrived lately.
    Connected,
}

/// What a run waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The prompt that an engine computes for another one.
    Prompt,
    /// The response, or the first event of a stream.
    Answer,
    /// The next event of a stream.
    Event,
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

    /// Priority at the target; 0 is the most urgent. A stream that is taken up goes before new ones, which other versions'
    /// targets may serve as well.
    pub(crate) fn priority(&self) -> u8 {
        if self.metadata.takes_stream_up() {
            return 0;
        }
        self.permission.priority.unwrap_or(self.route().priority)
    }

    /// What happened in the attempts so far, locked.
    pub(crate) fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock()
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(Moment::now())
    }

    /// Decides where the next attempt goes: to a target, or to a peer where no target can be connected to.
    pub(crate) fn hop(&self) -> Result<Hop, Error> {
        self.check_permission()?;
        let service = self.service();
        let cut_off = service.filter(|service| self.gateway.relay.is_cut_off(service));
        let Some(service) = cut_off else {
            return self.dispatch(Among::All).map(Hop::Target);
        };
        match self.dispatch(Among::Connected) {
            Err(Error::Refused(refusal)) if refusal.reason.is_for_lack_of_targets() => {}
            result => return result.map(Hop::Target),
        }
        let assignment = if self.source == Source::Caller && self.progress().relays < MAX_RELAYS {
            Assignment::new(&self.gateway, &service, &self.progress().avoided_peers)
        } else {
            None
        };
        assignment.map(Hop::Peer).ok_or_else(|| {
            let retry_after = CUT_OFF_RETRY.min(self.remaining() / 3);
            Error::Refused(Refusal { reason: Reason::CutOff, retry_after, expected: None })
        })
    }

    /// The service of the next attempt: that at which the stream began, or the first of the route's that has targets.
    fn service(&self) -> Option<name::Service> {
        let began = self.progress().began.as_ref().and_then(|began| began.service.clone());
        if began.is_some() {
            return began;
        }
        let order = self.route().service_order(self.draw);
        let balancer = self.gateway.balancer();
        let served = order.iter().find(|service| balancer.serves(service)).or(order.first());
        served.copied().cloned()
    }

    /// Targets of a service over whose open connections nothing has arrived lately.
    fn unconnected(&self, service: &name::Service) -> Vec<Key> {
        let balancer = self.gateway.balancer();
        let ready = balancer.ready(service).into_iter();
        let idle = ready.filter(|(_, target)| !self.gateway.pool.is_usable(target.address));
        idle.map(|(key, _)| key).collect()
    }

    /// Longest wait for a target to accept a connection after an unframed response; another run still has time after it.
    pub(crate) fn listening_limit(&self) -> Duration {
        self.remaining().saturating_sub(RESPONSE_MARGIN) / 2
    }

    /// Selects a target, pays for the send from the retry budget and counts the request at the target.
    ///
    /// A target whose run is silent is selected only if there is no other; its next run uses a new connection.
    fn dispatch(&self, among: Among) -> Result<Dispatch, Error> {
        let Some(service) = self.service() else {
            return Err(self.targets_full());
        };
        let unconnected = match among {
            Among::All => Vec::new(),
            Among::Connected => self.unconnected(&service),
        };
        let mut progress = self.progress();
        let progress = &mut *progress;
        if progress.rejections >= MAX_REJECTIONS || progress.unreached >= MAX_UNREACHED {
            return Err(self.targets_full());
        }
        let now = Moment::now();
        let mut balancer = self.gateway.balancer();
        let avoided: Vec<Key> = progress.avoid.iter().chain(&unconnected).copied().collect();
        let others: Vec<Key> = avoided.iter().chain(&progress.silent).copied().collect();
        let counted = std::mem::replace(&mut progress.counted, true);
        let suggestion = progress.suggestion.take();
        let declined = suggestion.and_then(|suggestion| balancer.decline(suggestion));
        let mut unused = Unused { gateway: &self.gateway, declined };
        let mut criteria = self.criteria(&service, progress);
        criteria.avoid = &others;
        criteria.suggestion = suggestion;
        let mut plan = match self.choose(&mut balancer, &criteria, now) {
            Err(_) if !progress.silent.is_empty() => {
                criteria.avoid = &avoided;
                self.choose(&mut balancer, &criteria, now)?
            }
            result => result?,
        };
        if !counted {
            self.gateway.count_request(&service);
            metric::count_placed(&plan);
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
        unused.declined = None;
        progress.budgeted = budgeted;
        progress.live += 1;
        drop(balancer);
        self.gateway.notify_peers(notices);
        let gateway = Arc::clone(&self.gateway);
        let dispatch = Dispatch::new(gateway, plan, number, &self.metadata, admission, now);
        dispatch.log_placement(
            &self.route().name,
            progress.runs + progress.live + progress.rejections,
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
            Decision::Refuse(refusal) => {
                metric::count_refused(&refusal);
                Err(Error::Refused(refusal))
            }
        }
    }

    /// Whether a target may take the request later: none has rejected it, and further ones may be tried.
    pub(crate) fn may_be_placed_later(&self) -> bool {
        let progress = self.progress();
        progress.rejections == 0 && progress.unreached < MAX_UNREACHED
    }

    /// Whether a target besides `key` may be tried.
    pub(crate) fn has_other_target(&self, service: &name::Service, key: Key) -> bool {
        let progress = self.progress();
        if progress.unreached + 1 >= MAX_UNREACHED {
            return false;
        }
        let tried = progress.avoid.iter().chain(&progress.silent).copied();
        let avoid: Vec<Key> = tried.chain([key]).collect();
        let criteria = Criteria { avoid: &avoid, ..self.criteria(service, &progress) };
        self.choose(&mut self.gateway.balancer(), &criteria, Moment::now()).is_ok()
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
    pub(crate) fn choose_receiver(&self, dispatch: &mut Dispatch, from: Key) -> bool {
        let now = Moment::now();
        let progress = self.progress();
        let mut balancer = self.gateway.balancer();
        let Some(service) = balancer.entry(from).map(|entry| entry.target.service.clone()) else {
            return false;
        };
        let mut criteria = self.criteria(&service, &progress);
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
        let is_retry = remaining < route.timeout.mul_f64(NEW_REQUEST_SHARE)
            || progress.runs + progress.live > 0
            || self.metadata.takes_stream_up();
        // A retry by the caller or after a run has missed the target latency already, and a stream that is taken up has
        // begun long ago; it is served until its deadline.
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
            prefill: if self.may_prefill_separately(progress) && !self.is_trial() {
                Prefill::Anywhere
            } else {
                Prefill::AtTarget
            },
            suggestion: None,
            claimant: self.claimant(),
        }
    }

    fn targets_full(&self) -> Error {
        self.refusal(Reason::TargetsFull)
    }

    /// A refusal of the request, which the caller may send again soon.
    pub(crate) fn refusal(&self, reason: Reason) -> Error {
        let retry_after = RETRY_AFTER.min(self.remaining() / 3);
        Error::Refused(Refusal { reason, retry_after, expected: None })
    }

    /// Whether another engine may compute the prompt: once, and again while attempts are left for it and the run.
    fn may_prefill_separately(&self, progress: &Progress) -> bool {
        let route = self.route();
        progress.prefills == 0
            || (route.retry != Retry::Never
                && progress.runs + progress.prefills < self.max_attempts)
    }

    /// Whether another run may be started now.
    pub(crate) fn may_retry(&self) -> bool {
        self.has_attempts_left() && self.remaining() > RESPONSE_MARGIN
    }

    /// Whether the route allows another run, besides those that have ended and those that are live.
    pub(crate) fn has_attempts_left(&self) -> bool {
        let route = self.route();
        route.retry != Retry::Never && self.progress().attempts() < self.max_attempts
    }

    /// [`Pending::may_retry`], for the decisions of [`placement::hedge`].
    pub(crate) fn another(&self) -> Another {
        if self.may_retry() { Another::Allowed } else { Another::Denied }
    }

    /// Whether another run may be started while one is silent. One that may not be repeated may be started while the
    /// prompt is computed: of several, one claims the only run.
    pub(crate) fn may_run_beside(&self) -> bool {
        match self.route().retry {
            Retry::Never => !self.progress().may_have_run(),
            Retry::Idempotent | Retry::Resume => self.has_attempts_left(),
        }
    }

    /// Claims a run before the request is sent to the target that answers it; nothing if none is left.
    pub(crate) async fn claim(&self) -> Option<Claim<'_>> {
        let limit = match self.route().retry {
            Retry::Never => 1,
            Retry::Idempotent | Retry::Resume => self.max_attempts.max(1),
        };
        self.progress.claim(limit).await
    }

    /// Records that the target of a live run is silent.
    pub(crate) fn record_silent(&self, key: Key, awaited: Awaited) {
        self.progress().silent.push(key);
        let gateway = &self.gateway;
        let ejected = gateway.balancer().record_outcome(key, Outcome::Silent, Moment::now());
        let target = gateway.balancer().entry(key).map(|entry| entry.target.clone());
        let Some(target) = target else {
            return;
        };
        gateway.pool.mark_suspect(target.address);
        let (id, ms) = (&self.metadata.id, self.age_ms());
        match awaited {
            Awaited::Prompt => info!(gateway.log, "prompt_overdue"; "id" => id,
                "target" => %target.name, "left_out" => ejected, "ms" => ms),
            Awaited::Answer => info!(gateway.log, "answer_overdue"; "id" => id,
                "target" => %target.name, "left_out" => ejected, "ms" => ms),
            Awaited::Event => info!(gateway.log, "stream_silent"; "id" => id,
                "target" => %target.name, "left_out" => ejected, "ms" => ms),
        }
    }

    /// Records that a target that was silent has sent something.
    pub(crate) fn record_heard(&self, key: Key) {
        self.progress().silent.retain(|silent| *silent != key);
        self.gateway.balancer().record_heard(key);
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
