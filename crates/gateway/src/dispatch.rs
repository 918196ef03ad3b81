//! A request that was sent to a target and counts towards its load until it ends, successfully or not.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{clock::Moment, name, random};
use fleet::{
    condition::Report,
    exchange::{self, Notice, Part},
};
use futures::future;
use placement::{
    balancer::{Entry, Key, selection::Plan},
    condition::Change,
    health::Outcome,
    quarantine::{Ticket, request::Content},
};
use platform::request::Metadata;
use slog::{debug, info};
use tokio::time;

use crate::{
    connection,
    ends::{self, Blame},
    metric,
    progress::Beginning,
    relay::probe,
    state::{Gateway, ms},
};

const FIRST_RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// Targets and data centres recover within seconds, and an attempt to connect costs one packet.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Time after which an engine may have begun to generate for a request, though the response head has not arrived.
const LONGEST_HEAD_DELAY: Duration = Duration::from_millis(100);
/// Time after the first event for which a request may still be the reason why its engine ends.
const BEGINNING: Duration = Duration::from_secs(1);

/// A request that was sent to a target. Dropping it ends its count at the target and cancels its prompt there.
#[derive(Debug)]
pub(crate) struct Dispatch {
    gateway: Arc<Gateway>,
    pub(crate) plan: Plan,
    /// Number of the dispatch, by which notices to other instances name it.
    number: u64,
    /// Id of the request, for logs.
    id: String,
    parts: Vec<Part>,
    /// The service of the target.
    service: name::Service,
    /// What was known of the parts when the request was sent.
    ticket: Ticket,
    content: Content,
    sent_at: Moment,
    /// Whether the response head has arrived, which engines send when they begin to generate.
    head_received: bool,
    first_event_at: Option<Moment>,
    /// Whether the request has shown that its parts don't end the engine.
    proven: bool,
}

/// What admitted a request: the service that it goes to, what is known of the parts of its prompt, and its content.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) service: name::Service,
    pub(crate) ticket: Ticket,
    pub(crate) content: Content,
}

/// Name and address of a target.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) name: name::Target,
    pub(crate) address: SocketAddr,
}

impl Dispatch {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        plan: Plan,
        number: u64,
        metadata: &Metadata,
        admission: Admission,
        sent_at: Moment,
    ) -> Dispatch {
        let Admission { service, ticket, content } = admission;
        Dispatch {
            gateway,
            plan,
            number,
            id: metadata.id.clone(),
            parts: metadata.parts.clone(),
            service,
            ticket,
            content,
            sent_at,
            head_received: false,
            first_event_at: None,
            proven: false,
        }
    }

    /// The service of the target.
    pub(crate) fn service(&self) -> &name::Service {
        &self.service
    }

    /// The parts of the prompt that other requests may share.
    fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Renews what is known of the parts before another engine generates; `false` if one was quarantined meanwhile.
    pub(crate) fn renew_ticket(&mut self) -> bool {
        let renewed =
            self.gateway.quarantine.renew(&self.service, self.shared_parts(), &self.ticket);
        match renewed {
            Some(ticket) => {
                self.ticket = ticket;
                true
            }
            None => false,
        }
    }

    /// Whether the request may be sent again after it was broken off.
    pub(crate) fn may_retry(&self) -> bool {
        self.gateway.quarantine.may_retry(&self.service, self.shared_parts())
    }

    /// Whether the target still accepts connections, after one to it ended. An unframed response that is complete and one
    /// whose process has ended look alike otherwise.
    ///
    /// A connection that isn't made within `limit` counts as not accepted.
    pub(crate) async fn is_listening(&self, limit: Duration) -> bool {
        let Some(destination) = self.destination(self.plan.target) else {
            return false;
        };
        match self.gateway.pool.connect(destination.address).wait(limit).await {
            Ok(connection) => {
                self.gateway.pool.put(destination.address, connection);
                true
            }
            Err(error) => {
                info!(self.gateway.log, "unframed_response_doubted"; "id" => &self.id,
                    "target" => %destination.name, "fault" => %error);
                false
            }
        }
    }

    /// The parts of the prompt that may be the reason if the engine ends now.
    fn suspected_parts(&self) -> &[Part] {
        let shared = self.shared_parts();
        let sent_lately = Moment::now().since(self.sent_at) < LONGEST_HEAD_DELAY;
        let generates = self.head_received || !sent_lately;
        let quarantine = &self.gateway.quarantine;
        if generates && quarantine.is_any_unproven(&self.service, shared) { shared } else { &[] }
    }

    /// Finds out whether the process of the target has ended, after a connection to it was lost, and if so has the
    /// request and the parts of the prompt blamed, at once or when that shows within some seconds.
    async fn examine_end(&self) {
        let lost_at = Moment::now();
        let key = self.plan.target;
        let shared = self.suspected_parts();
        let request_suspected = self.gateway.quarantine.is_request_unproven(self.content);
        if self.proven
            || (shared.is_empty() && !request_suspected)
            || !self.gateway.balancer().is_staying(key)
        {
            return;
        }
        let Some((process, hash)) = self.gateway.balancer().entry(key).map(process) else {
            return;
        };
        let refused = match self.gateway.pool.open(process.address).await {
            Ok(connection) => {
                // A successor, or a proxy in front of a target that has ended.
                self.gateway.pool.put(process.address, connection);
                false
            }
            Err(connection::Error::Refused(_)) => {
                self.record_outcome(key, Outcome::Unreached);
                self.gateway.balancer().doubt(key, Moment::now());
                true
            }
            // A machine that is cut off or without power says nothing about the request.
            Err(error) => {
                info!(self.gateway.log, "target_not_examined"; "id" => &self.id,
                    "target" => %process.target, "fault" => %error);
                return;
            }
        };
        let blame = Blame {
            service: self.service.clone(),
            parts: shared.to_vec(),
            ticket: self.ticket.clone(),
            content: request_suspected.then_some(self.content),
            process: hash,
            lost_at,
            id: self.id.clone(),
            target: process.target.clone(),
        };
        self.gateway.ends.watch(&process, blame);
        if refused {
            ends::examine(&self.gateway, process, hash).await;
        }
    }

    /// Finds out what a lost connection means: whether the process of the target has ended, and whether this instance still
    /// reaches targets of the service.
    pub(crate) async fn examine_loss(&self) {
        future::join(self.examine_end(), probe::examine(&self.gateway, &self.service)).await;
    }

    /// Records that the request has shown that neither it nor its parts end the target.
    pub(crate) fn record_success(&mut self) {
        if self.first_event_at.is_none() || std::mem::replace(&mut self.proven, true) {
            return;
        }
        self.record_request_success();
        let notices = self.gateway.quarantine.record_success(&self.service, self.shared_parts());
        self.log_suspicions("parts_cleared", &notices);
        self.gateway.notify_peers(notices);
    }

    /// Records that a target has run the request to a good end, or for a while.
    pub(crate) fn record_request_success(&self) {
        let notices = self.gateway.quarantine.record_request_success(self.content);
        self.log_crashes("request_cleared", &notices);
        self.gateway.notify_peers(notices);
    }

    /// Logs the standings of requests that changed.
    pub(crate) fn log_crashes(&self, cause: &'static str, notices: &[Notice]) {
        ends::log_crashes(
            &self.gateway,
            cause,
            &self.id,
            &self.target_name(self.plan.target),
            notices,
        );
    }

    fn log_suspicions(&self, cause: &'static str, notices: &[Notice]) {
        let target = self.target_name(self.plan.target);
        ends::log_suspicions(&self.gateway, cause, &self.id, &target, notices);
    }

    pub(crate) fn destination(&self, key: Key) -> Option<Destination> {
        let balancer = self.gateway.balancer();
        let target = &balancer.entry(key)?.target;
        Some(Destination { name: target.name.clone(), address: target.address })
    }

    /// Name of a target, for logs; empty once it was removed.
    pub(crate) fn target_name(&self, key: Key) -> String {
        self.destination(key).map_or_else(String::new, |destination| destination.name.0)
    }

    /// The service and the software version of the target.
    pub(crate) fn beginning(&self) -> Beginning {
        let balancer = self.gateway.balancer();
        let software = |entry: &Entry| entry.target.software.clone();
        let software = balancer.entry(self.plan.target).map(software).unwrap_or_default();
        Beginning { service: Some(self.service.clone()), software }
    }

    /// Logs where the request is sent, with the predictions behind the decision.
    pub(crate) fn log_placement(&self, route: &str, run: u32, left: Duration) {
        let name = |key| self.target_name(key);
        debug!(self.gateway.log, "request_placed"; "id" => &self.id, "route" => route, "run" => run,
            "target" => name(self.plan.target), "software" => %self.beginning().software,
            "prefill" => self.plan.prefill.map_or_else(String::new, name),
            "fetch" => self.plan.prefix_source.map_or_else(String::new, name),
            "fresh_tokens" => self.plan.uncached_tokens,
            "pending_tokens" => self.plan.pending_tokens,
            "prompt_ms" => format!("{:.0}", self.plan.prompt_ms),
            "predicted_ms" => self.predicted_ms(), "late" => self.plan.is_late,
            "left_ms" => ms(left));
    }

    fn predicted_ms(&self) -> String {
        format!("{:.0}", self.plan.first_token_at_ms - self.sent_at.0 as f64)
    }

    /// Records that the prompt is computed.
    pub(crate) fn record_prompt_computed(&self) {
        let now = Moment::now();
        let notice = self.gateway.balancer().complete_prompt(self.number, now);
        if notice.is_none() {
            return;
        }
        self.gateway.notify_peers(notice);
        let elapsed = now.since(self.sent_at);
        metric::observe(metric::Stage::Prompt, elapsed);
        debug!(self.gateway.log, "prompt_computed"; "id" => &self.id,
            "predicted_ms" => self.predicted_ms(), "ms" => ms(elapsed));
    }

    /// Records that another engine computed the prompt: its parts can be copied from there, also once the handle has
    /// expired.
    pub(crate) fn record_prompt_computed_at(&self, key: Key) {
        self.record_prompt_computed();
        self.record_cached(key);
    }

    /// Records the head of a response that succeeds.
    pub(crate) fn record_head(&mut self) {
        self.head_received = true;
    }

    /// Records an event. From the first one on the prompt's parts can be copied from the target.
    pub(crate) fn record_event(&mut self) {
        let now = Moment::now();
        if let Some(first) = self.first_event_at {
            if now.since(first) >= BEGINNING {
                self.record_success();
            }
            return;
        }
        self.first_event_at = Some(now);
        self.record_prompt_computed();
        self.record_cached(self.plan.target);
    }

    fn record_cached(&self, key: Key) {
        let notice = self.gateway.balancer().record_cached(key, &self.parts);
        self.gateway.notify_peers(notice);
    }

    /// Records what the head of a response says of its target, and notifies the other instances.
    pub(crate) fn record_report(&self, key: Key, report: &Report, sent_at: Moment) {
        let (change, notice) =
            self.gateway.balancer().record_report(key, report, sent_at, Moment::now());
        if change == Change::Changed
            && let Some(destination) = self.destination(key)
        {
            info!(self.gateway.log, "target_condition"; "target" => %destination.name,
                "leaving" => report.leaving, "id" => &self.id,
                "limit" => report.limit.map_or_else(String::new, |limit| limit.per_second().to_string()));
        }
        if let Some(pause) = report.retry_after {
            info!(self.gateway.log, "target_pause"; "id" => &self.id, "pause_ms" => ms(pause));
        }
        self.gateway.notify_peers(notice);
    }

    /// Records the outcome of an exchange with a target, and leaves the target out if it failed too often.
    pub(crate) fn record_outcome(&self, key: Key, outcome: Outcome) {
        let ejected = self.gateway.balancer().record_outcome(key, outcome, Moment::now());
        let Some(destination) = self.destination(key) else {
            return;
        };
        if outcome == Outcome::Unreached {
            self.gateway.record_unreached(&self.service, &destination.name);
            probe::start_if_due(&self.gateway, &self.service);
        }
        match outcome {
            Outcome::Broken => self.gateway.pool.remove(destination.address),
            Outcome::Unreached => self.gateway.pool.remove_unless_active(destination.address),
            Outcome::Success | Outcome::Error | Outcome::Refusal | Outcome::Silent => {}
        }
        if outcome == Outcome::Unreached && ejected {
            self.gateway.notify_peers([Notice::Unreached { target: destination.name.clone() }]);
            let (gateway, service) = (Arc::clone(&self.gateway), self.service.clone());
            tokio::spawn(reconnect(gateway, key, service, destination.address));
        }
        if ejected {
            metrics::counter!("daisydrum_targets_left_out_total").increment(1);
            info!(self.gateway.log, "target_left_out"; "target" => %destination.name,
                "address" => %destination.address, "outcome" => ?outcome, "id" => &self.id);
        }
    }
}

/// The process of a target and its hash, by its name and start: a target may start again under the same name.
fn process(entry: &Entry) -> (exchange::Process, u64) {
    let target = &entry.target;
    let name = target.name.0.bytes().map(u64::from);
    let fields = std::iter::once(target.started_unix_ms).chain(name);
    let hash = fields.fold(0, |hash, field| random::mix(hash ^ field));
    (exchange::Process::from(target), hash)
}

/// Tries to connect to a target that could not be reached, so that no request has to.
///
/// While the instance is cut off from the service, probes of a few of its targets take the place of this.
async fn reconnect(gateway: Arc<Gateway>, key: Key, service: name::Service, address: SocketAddr) {
    let mut pause = FIRST_RECONNECT_PAUSE;
    loop {
        time::sleep(pause).await;
        if !gateway.balancer().is_unreached(key) {
            return;
        }
        if gateway.relay.is_cut_off(&service) {
            continue;
        }
        if let Ok(connection) = probe::open(&gateway, &service, address).await {
            gateway.balancer().record_connected(key);
            gateway.pool.mark_alive(address);
            gateway.pool.put(address, connection);
            gateway.record_reached(&service);
            info!(gateway.log, "target_reached"; "address" => %address);
            return;
        }
        pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let mut balancer = self.gateway.balancer();
        balancer.complete_request(self.plan.target);
        let notice = balancer.cancel_prompt(self.number, Moment::now());
        drop(balancer);
        self.gateway.notify_peers(notice);
    }
}
