//! Checks a recorded history against the invariants that the system guarantees.

use std::{collections::BTreeMap, fmt, time::Duration};

use derive_more::Display;
use platform_standin::client;

use crate::{
    completion, crash, cut_off,
    history::{Content, History, Kind, Request},
    idle,
    operator::APPLY_LIMIT,
};

/// Number of events in every stream of the stand-ins.
pub const EVENTS: u64 = 8;
/// Body of every plain response of the stand-ins.
pub const BODY: &str = "done";
/// Time beyond a deadline after which a response counts as late. The operators' bound is 0.5 s on dedicated machines;
/// these processes share a machine with others.
const LATE_MARGIN: Duration = Duration::from_secs(2);
/// For this long after a frozen process resumes, its orders are not checked; this is the operators' bound.
const RESUME_MARGIN: Duration = Duration::from_millis(300);

/// An invariant of the system.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that may not be repeated runs at most once.
    Once,
    /// No request runs on more targets than its route allows.
    Attempts,
    /// A request that was refused has not run.
    Refusal,
    /// A successful response is one target's complete response to this request.
    Whole,
    /// Every event of a stream is delivered once and in order.
    Order,
    /// A valid request or configuration is not rejected as invalid.
    Denial,
    /// No answer ends before its target ends it, fails or reaches the deadline.
    Completion,
    /// A request that ends targets reaches few more, and sound requests are served beside it.
    Crashes,
    /// Instances that are cut off from targets serve requests as others do.
    CutOff,
    /// A connection is kept for the idle time of the configuration in force.
    Kept,
    /// Every request gets a response by its deadline.
    Deadline,
    /// No read returns an older configuration than one that was acknowledged long enough before.
    Newest,
    /// Each fencing token belongs to one lease holder, and the fencing tokens at a target never decrease.
    Holder,
    /// Every instance serves every kind of request again once the faults are over.
    Recovery,
    /// Processes exit only when they are asked to, and then exit in time and with code 0.
    End,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// Checks all invariants; returns the violations.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |invariant, detail| violations.push(Violation { invariant, detail });
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (target, run) in &history.runs {
        runs.entry(run.id.as_str()).or_default().push(target);
    }
    for request in &history.requests {
        let targets = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_runs(request, targets, &mut report);
        check_response(request, &mut report);
        if is_late(request, history) {
            let waited = request.ended - request.sent;
            report(Invariant::Deadline, format!("{} waited {waited:?}", describe(request)));
        }
    }
    for (request, answer) in completion::ended_early(history) {
        report(Invariant::Completion, format!("{} despite {answer:?}", describe(request)));
    }
    for request in idle::closed_early(history) {
        let detail = format!("{} since {:?}", describe(request), request.kept_since);
        report(Invariant::Kept, detail);
    }
    check_reads(history, &mut report);
    for what in &history.refused_changes {
        report(Invariant::Denial, what.clone());
    }
    check_orders(history, &mut report);
    for what in &history.unrecovered {
        report(Invariant::Recovery, what.clone());
    }
    for what in &history.unexpected_exits {
        report(Invariant::End, what.clone());
    }
    violations.extend(crash::check(history));
    violations.extend(cut_off::check(history));
    violations
}

fn check_runs(request: &Request, targets: &[&str], report: &mut impl FnMut(Invariant, String)) {
    let (count, kind) = (targets.len(), request.kind);
    if count > kind.max_runs() {
        let invariant = if kind.max_runs() == 1 { Invariant::Once } else { Invariant::Attempts };
        report(invariant, format!("{} ran at {targets:?}", describe(request)));
    }
    if claims_not_run(request.response.status) && count > 0 {
        report(Invariant::Refusal, format!("{} ran at {targets:?}", describe(request)));
    }
}

fn check_response(request: &Request, report: &mut impl FnMut(Invariant, String)) {
    let response = &request.response;
    match response.status {
        Some(200) => {}
        Some(status) if (300..500).contains(&status) && !claims_not_run(Some(status)) => {
            return report(Invariant::Denial, describe(request));
        }
        _ => return,
    }
    let signed = response.signature.as_ref().is_some_and(|signature| {
        signature.rsplit_once('.').is_some_and(|(_target, id)| id == request.id)
    });
    if !signed {
        report(Invariant::Whole, format!("{} signed {:?}", describe(request), response.signature));
    }
    if !request.kind.is_stream() {
        if response.whole && response.body != BODY {
            report(Invariant::Whole, format!("{} body {:?}", describe(request), response.body));
        }
        return;
    }
    let events = client::event_ids(&response.body);
    let in_order = events.iter().copied().eq(1..=events.len() as u64);
    if !in_order || (response.whole && events.len() as u64 != EVENTS) {
        report(Invariant::Order, format!("{} events {events:?}", describe(request)));
    }
}

fn is_late(request: &Request, history: &History) -> bool {
    let limit = request.kind.deadline() + LATE_MARGIN;
    let affected = history.outages.iter().any(|outage| {
        outage.entry == request.entry && outage.from < request.ended && request.sent < outage.until
    });
    !affected && request.ended - request.sent > limit
}

fn check_reads(history: &History, report: &mut impl FnMut(Invariant, String)) {
    for read in &history.reads {
        if read.content == Content::Other {
            report(Invariant::Newest, format!("{read:?} is not what was declared"));
        }
        let due = history.acknowledgements.iter().filter(|ack| ack.at + APPLY_LIMIT < read.sent);
        let newest = due.max_by_key(|ack| ack.version);
        if let Some(ack) = newest.filter(|ack| ack.version > read.version) {
            let detail = format!("control {} returned {read:?} after {ack:?}", read.control);
            report(Invariant::Newest, detail);
        }
    }
}

fn check_orders(history: &History, report: &mut impl FnMut(Invariant, String)) {
    let just_resumed = |at: Duration| {
        history.resumed_at.iter().any(|resumed| *resumed <= at && at - *resumed < RESUME_MARGIN)
    };
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for order in history.orders.iter().filter(|order| !just_resumed(order.at)) {
        let holder = holders.entry(order.fence).or_insert(&order.holder);
        if *holder != order.holder {
            report(Invariant::Holder, format!("{order:?} has the fencing token of {holder}"));
        }
        let newest = newest.entry(&order.target).or_default();
        if order.fence < *newest {
            report(
                Invariant::Holder,
                format!("{order:?} was received after fencing token {newest}"),
            );
        }
        *newest = order.fence.max(*newest);
    }
}

/// Whether a status means that the request has not run.
fn claims_not_run(status: Option<u16>) -> bool {
    matches!(status, Some(408 | 421 | 429 | 503))
}

fn describe(request: &Request) -> String {
    let Request { id, kind, entry, sent, ended, response, kept_since: _ } = request;
    format!(
        "{kind} {id} at entry {entry} from {sent:?} to {ended:?} got {:?}{}",
        response.status,
        if response.whole { "" } else { " cut" }
    )
}

/// By kind of request, the number that got a complete response and the number sent.
pub fn served(history: &History) -> BTreeMap<String, (usize, usize)> {
    let mut table: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for kind in Kind::ALL {
        table.insert(kind.to_string(), (0, 0));
    }
    for request in &history.requests {
        let row = table.entry(request.kind.to_string()).or_default();
        row.1 += 1;
        row.0 += usize::from(request.response.status == Some(200) && request.response.whole);
    }
    table
}
