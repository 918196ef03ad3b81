//! Metrics of the request path; names as in docs/OPERATIONS.md.

use std::time::Duration;

use common::clock::Moment;
use placement::{
    balancer::selection::{Plan, Reason, Refusal},
    health::Availability,
};

use crate::state::Gateway;

/// A stage of a request, measured in `daisydrum_stage_seconds`.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// From the first question to a keeper of a cell until enough is known to choose engines.
    Inquiry,
    /// From the dispatch until the prompt is computed, including the queue of the engine.
    Prompt,
    /// From the decode request, after another engine computed the prompt, until the response head.
    Transfer,
    /// From the arrival to the first event.
    FirstEvent,
    /// The longest pause between two events of a stream.
    LongestPause,
    /// From the arrival to a complete response.
    Answer,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Stage::Inquiry => "inquiry",
            Stage::Prompt => "prompt",
            Stage::Transfer => "transfer",
            Stage::FirstEvent => "first_event",
            Stage::LongestPause => "longest_pause",
            Stage::Answer => "answer",
        }
    }
}

/// Records how long a stage took.
pub(crate) fn observe(stage: Stage, took: Duration) {
    metrics::histogram!("daisydrum_stage_seconds", "stage" => stage.name())
        .record(took.as_secs_f64());
}

/// Counts a request that is sent although its first token will be late.
pub(crate) fn count_placed(plan: &Plan) {
    if plan.is_late {
        metrics::counter!("daisydrum_requests_sent_late_total").increment(1);
    }
}

/// Counts a request that its caller is told to send again since others go first.
pub(crate) fn count_refused(refusal: &Refusal) {
    if refusal.reason == Reason::GivesWay {
        metrics::counter!("daisydrum_requests_given_way_total").increment(1);
    }
}

/// Updates the gauges of targets, configuration and retry budgets.
pub fn publish(gateway: &Gateway) {
    let now = Moment::now();
    let availabilities = gateway.balancer().availabilities(now);
    for (availability, name) in [
        (Availability::Available, "in"),
        (Availability::Probation, "probation"),
        (Availability::Ejected, "out"),
    ] {
        let count = availabilities.iter().filter(|other| **other == availability).count();
        metrics::gauge!("daisydrum_targets", "standing" => name).set(count as f64);
    }
    if let Some((version, age)) = gateway.config_age() {
        metrics::gauge!("daisydrum_config_version").set(version as f64);
        metrics::gauge!("daisydrum_config_age_seconds").set(age.as_secs_f64());
        if let Some(age) = gateway.keys.age(version) {
            metrics::gauge!("daisydrum_keys_age_ms").set(age.as_secs_f64() * 1e3);
        }
    }
    for (service, parts) in gateway.quarantine.quarantined() {
        metrics::gauge!("daisydrum_parts_quarantined", "service" => service.0).set(parts as f64);
    }
    metrics::gauge!("daisydrum_memory_held_bytes").set(gateway.memory.used() as f64);
    let cut_off = gateway.relay.cut_off().len();
    metrics::gauge!("daisydrum_services_cut_off").set(cut_off as f64);
    let requests = gateway.quarantine.quarantined_requests();
    metrics::gauge!("daisydrum_requests_quarantined").set(requests as f64);
    metrics::gauge!("daisydrum_origins").set(gateway.origins.len() as f64);
    for (service, left) in gateway.retries_left(now) {
        metrics::gauge!("daisydrum_repeats_left", "service" => service.0).set(left);
    }
}
