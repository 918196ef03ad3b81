//! Selection of a target for a request.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::{
    config,
    registry::{Stage, State},
};

use crate::{
    balancer::{
        Balancer, Entry, Key, LEAVING_GRACE,
        cells::MAX_CELLS,
        engine::Source,
        selection::{Criteria, Decision, Plan, Prefill, Reason, Refusal, Suggestion},
    },
    health::Availability,
    speed,
};

/// Share of the target latency above which the predicted wait for earlier prompts has the next cell considered.
const CROWDED_SHARE: f64 = 0.25;
/// Time in milliseconds by which remote prefill must be cheaper, since the KV cache has to be transferred.
const REMOTE_PREFILL_MARGIN_MS: f64 = 25.0;
/// Requests that a target in another data centre counts as having in addition, for services without engines.
const FAR_PENALTY_REQUESTS: f64 = 0.5;
/// Factor of the target latency above which a predicted first token counts as too late.
pub(super) const LATENCY_TOLERANCE: f64 = 1.1;
/// Share of a request's remaining time within which its first token must be predicted.
const REMAINING_SHARE: f64 = 0.7;
/// Shortest retry time of a refusal.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry time if no target takes requests.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Balancer {
    /// Selects the target of a request, or refuses the request.
    pub fn choose(&mut self, criteria: &Criteria<'_>, now: Moment) -> Decision {
        if let Some(refusal) = self.refuse_plain(criteria, now) {
            return Decision::Refuse(refusal);
        }
        let plan = if self.engines.contains_key(criteria.service) {
            self.choose_engine(criteria, now)
        } else {
            self.choose_plain(criteria, now)
        };
        let Some(plan) = plan else {
            let reason =
                if criteria.avoid.is_empty() { Reason::NoTarget } else { Reason::TargetsFull };
            let retry_after = self
                .wait_for_admission(criteria, now)
                .unwrap_or(no_target_retry_after(criteria))
                .max(MIN_RETRY_AFTER)
                .min(longest_retry_after(criteria));
            return Decision::Refuse(Refusal { reason, retry_after, expected: None });
        };
        self.settle(plan, criteria, now)
    }

    /// Whether a target gets requests as far as its earlier ones tell.
    pub fn is_available(&self, key: Key, now: Moment) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| entry.health.availability(now) == Availability::Available)
    }

    /// Targets of the service that match `filter` and share the best availability among them.
    ///
    /// A stream that can only go on at one software version goes to targets that have just said that they leave, if no
    /// others of its version are left.
    pub(super) fn usable(
        &self,
        among: Among<'_>,
        criteria: &Criteria<'_>,
        now: Moment,
        filter: impl Fn(&Entry) -> bool,
    ) -> Vec<Key> {
        let staying = |entry: &Entry| entry.target.state == State::Ready && filter(entry);
        let usable = self.usable_among(among, criteria, now, staying);
        if !usable.is_empty() || criteria.software.is_none() {
            return usable;
        }
        let leaving = |entry: &Entry| {
            entry.leaving_since.is_some_and(|since| now.since(since) < LEAVING_GRACE)
                && filter(entry)
        };
        self.usable_among(among, criteria, now, leaving)
    }

    /// A first attempt that may be retried goes to a target on probation, if there is one.
    fn usable_among(
        &self,
        among: Among<'_>,
        criteria: &Criteria<'_>,
        now: Moment,
        filter: impl Fn(&Entry) -> bool,
    ) -> Vec<Key> {
        let ready: Vec<(Key, Availability)> = among
            .keys
            .iter()
            .filter_map(|key| Some((*key, self.entries.get(*key)?)))
            .filter(|(_, entry)| entry.target.service == *criteria.service)
            .filter(|(_, entry)| !entry.changing && filter(entry))
            .filter(|(key, _)| !criteria.avoid.contains(key))
            .filter(|(_, entry)| {
                criteria.software.is_none_or(|software| entry.target.software == *software)
            })
            .filter(|(key, entry)| {
                self.admission(*key, entry, criteria, now) == Some(Duration::ZERO)
            })
            .map(|(key, entry)| (key, entry.health.availability(now)))
            .filter(|(_, availability)| *availability <= among.worst)
            .collect();
        let ready = self.without_doubted(ready, criteria, now);
        let repairable = criteria.retry != config::Retry::Never;
        if repairable
            && criteria.avoid.is_empty()
            && let Some((key, _)) =
                ready.iter().find(|(_, availability)| *availability == Availability::Probation)
        {
            return vec![*key];
        }
        // If no target is available, one that may work again is better than none.
        let Some(best) = ready.iter().map(|(_, availability)| *availability).min() else {
            return Vec::new();
        };
        ready
            .into_iter()
            .filter(|(_, availability)| *availability == best)
            .map(|(key, _)| key)
            .collect()
    }

    /// Leaves out targets that may have restarted with other software, where the version matters. Engines are asked before they
    /// get the request; a new stream goes to one of the others if there is no other.
    fn without_doubted(
        &self,
        ready: Vec<(Key, Availability)>,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Vec<(Key, Availability)> {
        if criteria.retry != config::Retry::Resume || self.engines.contains_key(criteria.service) {
            return ready;
        }
        let is_known = |(key, _): &(Key, Availability)| !self.entries[*key].doubt.holds(now);
        let known: Vec<(Key, Availability)> = ready.iter().copied().filter(is_known).collect();
        if known.is_empty() && criteria.software.is_none() { ready } else { known }
    }

    /// Time until a target may be sent a request, unless that is never.
    fn admission(
        &self,
        key: Key,
        entry: &Entry,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Option<Duration> {
        if criteria.permitted == Some(key) {
            entry.condition.wait_with_permit(now)
        } else {
            entry.condition.wait(now)
        }
    }

    /// Time until the first of the service's targets that want no request now may be sent one; none if there is none.
    fn wait_for_admission(&self, criteria: &Criteria<'_>, now: Moment) -> Option<Duration> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.target.service == *criteria.service)
            .filter(|(_, entry)| entry.target.state == State::Ready && !entry.changing)
            .filter_map(|(key, entry)| self.admission(key, entry, criteria, now))
            .filter(|wait| !wait.is_zero())
            .min()
    }

    /// The target of a service without engines that has the fewest requests.
    fn choose_plain(&mut self, criteria: &Criteria<'_>, now: Moment) -> Option<Plan> {
        let keys = self.keys_of(criteria.service);
        let usable = self.usable(Among::all(&keys), criteria, now, |_| true);
        let now_ms = now.0 as f64;
        let loads: Vec<(Key, f64)> = usable
            .into_iter()
            .map(|key| {
                let entry = &self.entries[key];
                let is_far = entry.target.data_centre != self.data_centre;
                let load = f64::from(entry.backlog.local_requests());
                let tie_breaker = self.random.unit() * 0.1;
                (key, load + if is_far { FAR_PENALTY_REQUESTS } else { 0.0 } + tie_breaker)
            })
            .collect();
        let (target, _) = loads.into_iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(Plan {
            target,
            prefill: None,
            prefix_source: None,
            uncached_tokens: 0,
            pending_tokens: 0,
            prompt_ms: 0.0,
            first_token_at_ms: now_ms,
            overhead_ms: 0.0,
            is_late: false,
        })
    }

    /// All targets of a service.
    pub(super) fn keys_of(&self, service: &name::Service) -> Vec<Key> {
        let of_service = self.entries.iter().filter(|(_, entry)| entry.target.service == *service);
        of_service.map(|(key, _)| key).collect()
    }

    /// The plan that a keeper suggests. If its engines can't be used, or without a suggestion, the best plan among the engines
    /// of the prompt's home cell and, if that is crowded, of the next one; among all engines of the service if none of these
    /// can be used.
    pub(super) fn choose_engine(&mut self, criteria: &Criteria<'_>, now: Moment) -> Option<Plan> {
        self.refresh_cells(now);
        if let Some(plan) = self.follow_suggestion(criteria, now) {
            return Some(plan);
        }
        let order = self.cells.order(criteria.service, criteria.parts);
        let cells: Vec<Vec<Key>> =
            order.into_iter().take(MAX_CELLS).map(|cell| cell.engines.clone()).collect();
        let home = cells.first().cloned().unwrap_or_default();
        let mut best: Option<Scored> = None;
        for engines in &cells {
            let among = Among { keys: engines, worst: Availability::Probation };
            let source = self.prefix_source(home.iter().chain(engines), criteria);
            if let Some(scored) = self.choose_among(among, source, criteria, now)
                && best.as_ref().is_none_or(|best| scored.score < best.score)
            {
                best = Some(scored);
            }
            if best.as_ref().is_some_and(|best| !is_crowded(&best.plan, criteria, now)) {
                break;
            }
        }
        if best.is_none() {
            let keys = self.keys_of(criteria.service);
            let source = self.prefix_source(home.iter(), criteria);
            best = self.choose_among(Among::all(&keys), source, criteria, now);
        }
        best.map(|best| best.plan)
    }

    /// The plan that a keeper suggests, if its engines can be used.
    fn follow_suggestion(&mut self, criteria: &Criteria<'_>, now: Moment) -> Option<Plan> {
        let Suggestion { target, prefill, .. } = criteria.suggestion?;
        let engine = *self.engines.get(criteria.service)?;
        let home = self.cells.order(criteria.service, criteria.parts).into_iter().next();
        let cells = home.into_iter().chain(self.cells.of_engine(target));
        let source = self.prefix_source(cells.flat_map(|cell| &cell.engines), criteria);
        let suggested: Vec<Key> = prefill.into_iter().chain([target]).collect();
        let among = Among { keys: &suggested, worst: Availability::Probation };
        let decodes = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let decode = self.usable(among, criteria, now, decodes);
        if decode != [target] {
            return None;
        }
        let now_ms = now.0 as f64;
        let plan = if let Some(prefill) = prefill {
            let prefills = |entry: &Entry| entry.target.stage == Some(Stage::Prefill);
            if criteria.prefill == Prefill::AtTarget
                || self.usable(among, criteria, now, prefills) != [prefill]
            {
                return None;
            }
            let mut candidate = self.evaluate(prefill, criteria, &engine, source, now_ms);
            let receiver = self.best_receiver(prefill, criteria, &engine, &decode, now_ms)?;
            candidate.first_token_ms += receiver.delay_ms;
            candidate.plan(target, Some(prefill), now_ms)
        } else {
            self.evaluate(target, criteria, &engine, source, now_ms).plan(target, None, now_ms)
        };
        let presumed = self.presumed_source(&decode, source, criteria);
        Some(plan.or_copied_from(presumed))
    }

    /// The engine, with or without remote prefill, that has the lowest score; cached parts may be copied from `source`.
    pub(super) fn choose_among(
        &mut self,
        among: Among<'_>,
        source: Option<Source>,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Option<Scored> {
        let engine = *self.engines.get(criteria.service)?;
        let decodes = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let decode = self.usable(among, criteria, now, decodes);
        let now_ms = now.0 as f64;
        let presumed = self.presumed_source(&decode, source, criteria);
        let direct = self.best_candidate(&decode, criteria, &engine, source, now_ms)?;
        let remote = self.choose_remote_prefill(among, criteria, &engine, source, &decode, now);
        let mut scored = match remote {
            Some((prefill, target)) if prefill.score + REMOTE_PREFILL_MARGIN_MS < direct.score => {
                Scored {
                    score: prefill.score,
                    plan: prefill.plan(target, Some(prefill.key), now_ms),
                }
            }
            _ => Scored { score: direct.score, plan: direct.plan(direct.key, None, now_ms) },
        };
        scored.plan = scored.plan.or_copied_from(presumed);
        Some(scored)
    }
}

/// The targets among which one is chosen, and the worst availability that it may have.
#[derive(Clone, Copy, Debug)]
pub(super) struct Among<'a> {
    pub(super) keys: &'a [Key],
    pub(super) worst: Availability,
}

impl Among<'_> {
    pub(super) fn all(keys: &[Key]) -> Among<'_> {
        Among { keys, worst: Availability::Ejected }
    }
}

/// A plan and its cost in milliseconds.
#[derive(Clone, Debug)]
pub(super) struct Scored {
    pub(super) score: f64,
    pub(super) plan: Plan,
}

/// Whether a request would wait long for earlier prompts.
pub(super) fn is_crowded(plan: &Plan, criteria: &Criteria<'_>, now: Moment) -> bool {
    let limit_ms = criteria.target_latency.as_secs_f64() * 1e3 * CROWDED_SHARE;
    plan.first_token_at_ms - now.0 as f64 - plan.prompt_ms - plan.overhead_ms > limit_ms
}

/// Retry time if no target takes requests. A stream that can go on at one software version only waits for the return of
/// those that have it, and uses all of its time for that.
fn no_target_retry_after(criteria: &Criteria<'_>) -> Duration {
    if criteria.software.is_some() { criteria.remaining / 3 } else { NO_TARGET_RETRY_AFTER }
}

fn longest_retry_after(criteria: &Criteria<'_>) -> Duration {
    if criteria.software.is_some() { criteria.remaining / 3 } else { criteria.remaining / 4 }
}

/// By how much the predicted first token exceeds the limit above which a request is refused.
pub(super) fn late_by(plan: &Plan, criteria: &Criteria<'_>, now: Moment) -> Option<Duration> {
    let first_token_ms = plan.first_token_at_ms - now.0 as f64;
    let limit_ms = first_token_limit_ms(plan, criteria);
    (first_token_ms > limit_ms).then(|| Duration::from_secs_f64((first_token_ms - limit_ms) / 1e3))
}

/// Time in milliseconds until the first token above which a request is refused.
pub(super) fn first_token_limit_ms(plan: &Plan, criteria: &Criteria<'_>) -> f64 {
    let target_ms = criteria.target_latency.as_secs_f64() * 1e3 * LATENCY_TOLERANCE;
    let left_ms = criteria.remaining.as_secs_f64() * 1e3 * REMAINING_SHARE;
    let unqueued_ms = plan.prompt_ms + speed::first_step_ms();
    // A prompt that is too long for the target latency would be late at any later time too.
    target_ms.max(unqueued_ms).min(left_ms)
}
