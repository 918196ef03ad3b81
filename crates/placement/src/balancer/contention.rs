//! Whether a request is sent by the plan that was made for it; see [`crate::precedence`].

use std::time::Duration;

use common::{clock::Moment, name};

use crate::{
    balancer::{
        Balancer,
        choice::{LATENCY_TOLERANCE, MIN_RETRY_AFTER, first_token_limit_ms, late_by},
        selection::{Criteria, Decision, Plan, Reason, Refusal},
    },
    precedence::{Claimant, Offer, Verdict},
};

/// Time until the room of a service without engines is decided on anew.
const PLAIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Least retry time of a request that gives way, since the room is short for others, too.
const GIVEN_WAY_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Balancer {
    /// Sends a request by a plan, or refuses it: by its predicted first token alone, or also by how urgent it is, where
    /// precedence applies.
    pub(super) fn settle(&mut self, plan: Plan, criteria: &Criteria<'_>, now: Moment) -> Decision {
        let late = late_by(&plan, criteria, now);
        let may_give_way = self.engines.contains_key(criteria.service) && is_new(criteria);
        let contention = self.precedence.service(criteria.service).filter(|_| may_give_way);
        let Some(contention) = contention else {
            return match late {
                Some(excess) => refuse(Reason::TooLate, excess, &plan, criteria, now),
                None => Decision::Send(plan),
            };
        };
        match contention.judge(criteria.claimant, &offer(&plan, criteria, now), now) {
            Verdict::Send => Decision::Send(plan),
            Verdict::SendLate => Decision::Send(Plan { is_late: true, ..plan }),
            Verdict::Refuse { excess_ms } => {
                let excess = Duration::from_secs_f64(excess_ms / 1e3);
                if late.is_some() {
                    refuse(Reason::TooLate, excess, &plan, criteria, now)
                } else {
                    let excess = excess.max(GIVEN_WAY_RETRY_AFTER);
                    refuse(Reason::GivesWay, excess, &plan, criteria, now)
                }
            }
        }
    }

    /// The criteria by which a keeper chooses engines. One that chose them for a request that is refused here would expect
    /// its prompt to be computed there.
    pub(super) fn restrained<'a>(&mut self, criteria: &Criteria<'a>, now: Moment) -> Criteria<'a> {
        let contention = self.precedence.service(criteria.service).filter(|_| is_new(criteria));
        let limit_ms = contention
            .and_then(|contention| contention.first_token_limit_ms(criteria.claimant, now));
        let limit = limit_ms.map(|ms| Duration::from_secs_f64(ms / 1e3 / LATENCY_TOLERANCE));
        let target_latency =
            limit.map_or(criteria.target_latency, |limit| limit.min(criteria.target_latency));
        Criteria { target_latency, ..criteria.clone() }
    }

    /// Refuses a request for a service without engines whose targets reject more urgent ones.
    pub(super) fn refuse_plain(&mut self, criteria: &Criteria<'_>, now: Moment) -> Option<Refusal> {
        if self.engines.contains_key(criteria.service) {
            return None;
        }
        if !is_new(criteria) {
            return None;
        }
        let contention = self.precedence.service(criteria.service)?;
        let draw = self.random.unit();
        match contention.judge_plain(criteria.claimant, draw, now) {
            Verdict::Send | Verdict::SendLate => None,
            Verdict::Refuse { .. } => {
                let retry_after = PLAIN_RETRY_AFTER.min(criteria.remaining / 3);
                let retry_after = retry_after.max(MIN_RETRY_AFTER);
                Some(Refusal { reason: Reason::GivesWay, retry_after, expected: None })
            }
        }
    }

    /// Records that the first target of a request rejected it for lack of room.
    pub fn record_rejected(
        &mut self,
        service: &name::Service,
        claimant: Claimant<'_>,
        now: Moment,
    ) {
        if let Some(contention) = self.precedence.service(service) {
            contention.record_rejected(claimant, now);
        }
    }

    /// Counts a request that is sent by a plan for those that compete with it.
    pub(super) fn record_contention(&mut self, plan: &Plan, criteria: &Criteria<'_>, now: Moment) {
        let is_engine = self.engines.contains_key(criteria.service);
        let Some(contention) = self.precedence.service(criteria.service) else {
            return;
        };
        if is_engine {
            let verdict = if plan.is_late { Verdict::SendLate } else { Verdict::Send };
            contention.record_sent(criteria.claimant, plan.prompt_ms, verdict, now);
        } else if is_new(criteria) {
            contention.record_sent_plain(criteria.claimant, now);
        }
    }
}

/// Whether no target has had the request. One that has been let in doesn't give way later, nor does a stream that has begun.
fn is_new(criteria: &Criteria<'_>) -> bool {
    criteria.avoid.is_empty() && criteria.software.is_none()
}

fn offer(plan: &Plan, criteria: &Criteria<'_>, now: Moment) -> Offer {
    let first_token_ms = plan.first_token_at_ms - now.0 as f64;
    Offer {
        wait_ms: (first_token_ms - plan.prompt_ms - plan.overhead_ms).max(0.0),
        first_token_ms,
        prompt_ms: plan.prompt_ms,
        limit_ms: first_token_limit_ms(plan, criteria),
        remaining_ms: criteria.remaining.as_secs_f64() * 1e3,
        is_return: criteria.target_latency >= criteria.remaining,
    }
}

fn refuse(
    reason: Reason,
    excess: Duration,
    plan: &Plan,
    criteria: &Criteria<'_>,
    now: Moment,
) -> Decision {
    let longest = (criteria.remaining / 3).max(MIN_RETRY_AFTER);
    let retry_after = excess.clamp(MIN_RETRY_AFTER, longest);
    let first_token_ms = (plan.first_token_at_ms - now.0 as f64).max(0.0);
    let expected = Some(Duration::from_secs_f64(first_token_ms / 1e3));
    Decision::Refuse(Refusal { reason, retry_after, expected })
}
