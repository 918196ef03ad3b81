//! Decides which requests of a service give way when its room is short.
//!
//! The predicted wait at the engines tells how short the room is. While it is short, requests wait no longer than the most
//! urgent kind can afford, and the less urgent a kind is, the shorter the wait at which its requests are refused. What
//! organisations get is divided by weighted max-min fairness ([`share`]): the requests of one that has had more than its
//! share count as less urgent than they are. An organisation that sends nothing costs nothing, and what others leave unused
//! is used.
//!
//! Applies where the settings ask for it, to services whose routes differ in priority, and to all services if the configuration
//! has organisations.

pub mod share;

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
};
use fleet::config;

use self::share::Shares;

/// Lowest priority that is distinguished.
const LOWEST_PRIORITY: u8 = 9;
/// Time after its last request for which a kind keeps others from its room, in milliseconds.
const ACTIVE_MS: f64 = 10_000.0;
/// Time constant of the moving average of the waits, in milliseconds.
const WAIT_WINDOW_MS: f64 = 1_000.0;
/// Largest weight of one wait: an instance with few requests must not take a single long wait for a shortage.
const MAX_WAIT_WEIGHT: f64 = 0.35;
/// Average wait, as a share of the room, from which the most urgent requests are held to a longest wait.
const ONSET: f64 = 0.2;
/// That longest wait, as a share of the room. Predictions are too low while room is short: with 0.7, at four times the load
/// a seventh less was served than with 0.35.
const CEILING: f64 = 0.35;
/// Factor of the onset for each step by which a request is less urgent.
const ONSET_STEP: f64 = 0.4;
/// Wait, as a share of the room, that no request is refused for before the onset.
const USUAL_WAIT: f64 = 0.04;
/// Steps by which the requests of an organisation that has had more than its share are less urgent.
const OVER_STEPS: i32 = 2;
/// Multiple of its onset by which the average wait rises until a less urgent kind gets nothing.
const RAMP: f64 = 2.5;
/// Weight of a request in the moving averages of its kind.
const KIND_WEIGHT: f64 = 0.05;
/// Least room, as a share of the limit of the first token: a request may be too long to be in time anywhere.
const MIN_ROOM_SHARE: f64 = 0.25;
/// Late requests of the most urgent kind that are sent for each one in time, and how many may follow each other.
const LATE_SHARE: f64 = 0.05;
const MAX_LATE_BURST: f64 = 3.0;
/// Share of a late request's remaining time within which its first token must be predicted, so that it ends well before its
/// deadline.
const LATE_REMAINING_SHARE: f64 = 0.5;
/// Time constant in which refusals and rejections are forgotten, in milliseconds.
const REFUSAL_WINDOW_MS: f64 = 3_000.0;
/// Requests that count as sent in addition, so that a single refusal is no share yet.
const PRIOR_SENT: f64 = 0.3;
/// Share of rejections among the more urgent requests that is normal.
const USUAL_REJECTIONS: f64 = 0.03;
/// Factor from the excess of that to the share of less urgent requests that are refused.
const REJECTION_GAIN: f64 = 4.0;
/// Largest share of less urgent requests that are refused on account of rejections.
const MAX_REFUSED_SHARE: f64 = 0.95;

/// Whose request it is, and how urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claimant<'a> {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The caller's organisation, where the configuration has any.
    pub organisation: Option<&'a name::Organisation>,
}

/// What a request would get at the engines that were chosen for it; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Time until its prompt begins.
    pub wait_ms: f64,
    /// Time until its first token.
    pub first_token_ms: f64,
    /// Prefill time of its prompt.
    pub prompt_ms: f64,
    /// Time within which the first token is in time.
    pub limit_ms: f64,
    /// Time until the deadline.
    pub remaining_ms: f64,
    /// Whether the request was refused before, or has run, so that it can't be in time any more.
    pub is_return: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent.
    Send,
    /// It is sent although its first token will be late.
    SendLate,
    /// It is refused since its wait is longer than allowed, by this time in milliseconds.
    Refuse {
        /// Excess of the wait.
        excess_ms: f64,
    },
}

/// The services to which precedence applies, with what this instance has observed of them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    scope: Scope,
    services: Map<name::Service, Contention>,
}

/// Where precedence applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Nowhere: a request is refused by its predicted first token alone.
    #[default]
    Nowhere,
    /// At services whose requests differ in urgency or belong to organisations. Where priorities don't follow what answers are
    /// worth to callers, these lose more than they gain: 0.81 of the worth fell to 0.63 on one deployment.
    Contended,
}

impl Table {
    /// Makes a table for services of which nothing has been observed.
    pub fn new(scope: Scope) -> Table {
        Table { scope, services: Map::default() }
    }

    /// Applies a configuration. What was observed of a service is kept.
    pub fn configure(&mut self, config: &config::Config) {
        let mut priorities: Map<&name::Service, Set<u8>> = Map::default();
        for route in &config.routes {
            for share in &route.shares {
                priorities.entry(&share.service).or_default().insert(route.priority);
            }
        }
        let has_organisations = config.organisations.is_some();
        let applies = |priorities: &Set<u8>| {
            self.scope == Scope::Contended && (has_organisations || priorities.len() > 1)
        };
        self.services = priorities
            .into_iter()
            .filter(|(_, priorities)| applies(priorities))
            .map(|(service, _)| {
                (service.clone(), self.services.remove(service).unwrap_or_default())
            })
            .collect();
    }

    /// What is observed of a service, if precedence applies to it.
    pub fn service(&mut self, service: &name::Service) -> Option<&mut Contention> {
        self.services.get_mut(service)
    }
}

/// What this instance has observed of a service's room and of the kinds of requests that compete for it.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    kinds: Map<u8, Kind>,
    shares: Shares,
    /// Moving average of the waits, and its time.
    wait_ms: f64,
    wait_at_ms: f64,
}

/// The requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    seen_at_ms: f64,
    /// Wait that its requests can afford, and their time until the first token without it.
    room_ms: f64,
    own_ms: f64,
    /// Late requests that may be sent.
    late_credit: f64,
    /// Requests sent to targets for the first time, and rejections of these, in the recent past.
    sent: f64,
    rejected: f64,
    /// Requests decided on for the first time, and refusals of these, in the recent past.
    judged: f64,
    refused: f64,
    counted_at_ms: f64,
}

impl Contention {
    /// Decides on a request of a service with engines.
    pub fn judge(&mut self, claimant: Claimant<'_>, offer: &Offer, now: Moment) -> Verdict {
        let now_ms = now.0 as f64;
        self.observe(claimant, offer, now_ms);
        let verdict = self.verdict(claimant, offer, now_ms);
        if !offer.is_return {
            let kind = self.kinds.entry(priority(claimant)).or_default();
            kind.count(matches!(verdict, Verdict::Refuse { .. }), now_ms);
        }
        verdict
    }

    fn verdict(&self, claimant: Claimant<'_>, offer: &Offer, now_ms: f64) -> Verdict {
        let step = self.step(claimant, now_ms);
        let ceiling_ms = self.ceiling_ms(claimant, step, now_ms).unwrap_or(f64::INFINITY);
        let in_time = offer.first_token_ms <= offer.limit_ms;
        if offer.wait_ms <= ceiling_ms && (in_time || self.is_long(claimant, offer, step)) {
            if ceiling_ms.is_finite() && self.is_favoured(claimant, now_ms) {
                return Verdict::Refuse { excess_ms: 0.0 };
            }
            return if in_time { Verdict::Send } else { Verdict::SendLate };
        }
        if self.may_be_late(claimant, offer, step) {
            return Verdict::SendLate;
        }
        let excess_ms = (offer.wait_ms - ceiling_ms).max(offer.first_token_ms - offer.limit_ms);
        Verdict::Refuse { excess_ms }
    }

    /// Whether a smaller share of a kind's requests was refused lately than of a more urgent kind's. Short prompts find room
    /// where long ones find none.
    fn is_favoured(&self, claimant: Claimant<'_>, now_ms: f64) -> bool {
        let own =
            self.kinds.get(&priority(claimant)).map_or(0.0, |kind| kind.refused_share(now_ms));
        let urgent = self.more_urgent(claimant, now_ms).map(|(_, kind)| kind.refused_share(now_ms));
        urgent.fold(0.0, f64::max) > own
    }

    /// Time until the first token above which a request would be refused for its wait, in milliseconds, if it is as long as
    /// others of its kind; `None` while there is room enough.
    pub fn first_token_limit_ms(&self, claimant: Claimant<'_>, now: Moment) -> Option<f64> {
        let now_ms = now.0 as f64;
        let ceiling_ms = self.ceiling_ms(claimant, self.step(claimant, now_ms), now_ms)?;
        Some(ceiling_ms + self.kinds.get(&priority(claimant))?.own_ms)
    }

    /// Counts a request that is sent: its work for its organisation, and whether it is late.
    pub fn record_sent(
        &mut self,
        claimant: Claimant<'_>,
        work_ms: f64,
        verdict: Verdict,
        now: Moment,
    ) {
        self.shares.record_served(claimant.organisation, work_ms, now);
        let kind = self.kinds.entry(priority(claimant)).or_default();
        kind.late_credit = match verdict {
            Verdict::SendLate => kind.late_credit - 1.0,
            Verdict::Send | Verdict::Refuse { .. } => kind.late_credit + LATE_SHARE,
        };
        kind.late_credit = kind.late_credit.clamp(0.0, MAX_LATE_BURST);
    }

    /// Decides on a request of a service without engines by what its targets reject; `draw` is a random number below 1.
    pub fn judge_plain(&mut self, claimant: Claimant<'_>, draw: f64, now: Moment) -> Verdict {
        let now_ms = now.0 as f64;
        self.shares.record_wanted(claimant.organisation, 1.0, now);
        let kind = self.kinds.entry(priority(claimant)).or_default();
        kind.seen_at_ms = now_ms;
        let own = kind.rejected_share(now_ms);
        let urgent =
            self.more_urgent(claimant, now_ms).map(|(_, kind)| kind.rejected_share(now_ms));
        let over = if self.shares.is_over(claimant.organisation, now) { own } else { 0.0 };
        let rejected = urgent.fold(over, f64::max);
        let refused = (REJECTION_GAIN * (rejected - USUAL_REJECTIONS)).min(MAX_REFUSED_SHARE);
        if draw < refused { Verdict::Refuse { excess_ms: 0.0 } } else { Verdict::Send }
    }

    /// Counts a request of a service without engines that is sent for the first time.
    pub fn record_sent_plain(&mut self, claimant: Claimant<'_>, now: Moment) {
        self.shares.record_served(claimant.organisation, 1.0, now);
        let kind = self.kinds.entry(priority(claimant)).or_default();
        kind.forget(now.0 as f64);
        kind.sent += 1.0;
    }

    /// Counts a request that its first target rejected.
    pub fn record_rejected(&mut self, claimant: Claimant<'_>, now: Moment) {
        let kind = self.kinds.entry(priority(claimant)).or_default();
        kind.forget(now.0 as f64);
        kind.rejected += 1.0;
    }

    fn observe(&mut self, claimant: Claimant<'_>, offer: &Offer, now_ms: f64) {
        let weight = 1.0 - (-(now_ms - self.wait_at_ms).max(1.0) / WAIT_WINDOW_MS).exp();
        self.wait_ms += weight.min(MAX_WAIT_WEIGHT) * (offer.wait_ms - self.wait_ms);
        self.wait_at_ms = now_ms;
        let kind = self.kinds.entry(priority(claimant)).or_default();
        kind.seen_at_ms = now_ms;
        if offer.is_return {
            return;
        }
        self.shares.record_wanted(claimant.organisation, offer.prompt_ms, Moment(now_ms as u64));
        let own_ms = offer.first_token_ms - offer.wait_ms;
        let room_ms = (offer.limit_ms - own_ms).max(offer.limit_ms * MIN_ROOM_SHARE);
        if kind.room_ms == 0.0 {
            kind.room_ms = room_ms;
            kind.own_ms = own_ms;
        }
        kind.own_ms += KIND_WEIGHT * (own_ms - kind.own_ms);
        kind.room_ms += KIND_WEIGHT * (room_ms - kind.room_ms);
    }

    /// Steps by which a request is less urgent than the most urgent ones.
    fn step(&self, claimant: Claimant<'_>, now_ms: f64) -> i32 {
        let urgent = i32::try_from(self.more_urgent(claimant, now_ms).count()).unwrap_or(i32::MAX);
        let over = i32::from(self.shares.is_over(claimant.organisation, Moment(now_ms as u64)));
        urgent + over * OVER_STEPS
    }

    /// Longest wait of a request that is less urgent by this many steps; `None` while there is room enough.
    fn ceiling_ms(&self, claimant: Claimant<'_>, step: i32, now_ms: f64) -> Option<f64> {
        let own = self.kinds.get(&priority(claimant)).map(|kind| kind.room_ms);
        let rooms = self.more_urgent(claimant, now_ms).map(|(_, kind)| kind.room_ms).chain(own);
        let room_ms = rooms.filter(|room| *room > 0.0).min_by(f64::total_cmp)?;
        let shortage = self.wait_ms / room_ms;
        let onset = ONSET * ONSET_STEP.powi(step);
        if shortage <= onset {
            return None;
        }
        let highest_ms = room_ms * CEILING;
        if step == 0 {
            return Some(highest_ms);
        }
        let least_ms = if shortage < ONSET { room_ms * USUAL_WAIT } else { 0.0 };
        Some((highest_ms * (1.0 - (shortage - onset) / (onset * RAMP))).max(least_ms))
    }

    /// Whether one of the most urgent requests is late for its own length and not for the wait, and ends well before its
    /// deadline.
    fn is_long(&self, claimant: Claimant<'_>, offer: &Offer, step: i32) -> bool {
        let room_ms = self.kinds.get(&priority(claimant)).map_or(0.0, |kind| kind.room_ms);
        step == 0 && ends_early(offer) && offer.wait_ms <= room_ms
    }

    /// Whether one of the most urgent requests is among the few that are sent although the wait makes them late.
    fn may_be_late(&self, claimant: Claimant<'_>, offer: &Offer, step: i32) -> bool {
        let credit = self.kinds.get(&priority(claimant)).map_or(0.0, |kind| kind.late_credit);
        step == 0 && ends_early(offer) && credit >= 1.0
    }

    /// The kinds that are more urgent than a request and have sent any lately.
    fn more_urgent(
        &self,
        claimant: Claimant<'_>,
        now_ms: f64,
    ) -> impl Iterator<Item = (&u8, &Kind)> {
        let own = priority(claimant);
        self.kinds.iter().filter(move |(priority, kind)| {
            **priority < own && now_ms - kind.seen_at_ms < ACTIVE_MS
        })
    }
}

impl Kind {
    /// Share of its recent requests that targets rejected, counted as if two more had been accepted.
    fn rejected_share(&self, now_ms: f64) -> f64 {
        let kept = self.kept(now_ms);
        self.rejected * kept / (self.sent * kept + 2.0)
    }

    /// Share of what was counted that isn't forgotten yet.
    fn kept(&self, now_ms: f64) -> f64 {
        (-(now_ms - self.counted_at_ms).max(0.0) / REFUSAL_WINDOW_MS).exp()
    }

    /// Share of its recent requests that were refused when they first came, counted as if one more had been sent.
    fn refused_share(&self, now_ms: f64) -> f64 {
        let kept = self.kept(now_ms);
        self.refused * kept / (self.judged * kept + PRIOR_SENT)
    }

    fn count(&mut self, is_refused: bool, now_ms: f64) {
        self.forget(now_ms);
        self.judged += 1.0;
        self.refused += f64::from(u8::from(is_refused));
    }

    fn forget(&mut self, now_ms: f64) {
        let kept = self.kept(now_ms);
        self.sent *= kept;
        self.rejected *= kept;
        self.judged *= kept;
        self.refused *= kept;
        self.counted_at_ms = now_ms;
    }
}

/// Whether a request whose first token is late still ends well before its deadline.
fn ends_early(offer: &Offer) -> bool {
    offer.first_token_ms <= offer.remaining_ms * LATE_REMAINING_SHARE
}

fn priority(claimant: Claimant<'_>) -> u8 {
    claimant.priority.min(LOWEST_PRIORITY)
}
