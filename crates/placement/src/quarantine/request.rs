//! Which requests end the targets that run them, and must not be sent any more.
//!
//! A request that comes again has a new id, but the same content; [`Digest`] stands for that. Unlike a part of a prompt,
//! a digest is shared by few requests, so it takes fewer ends to quarantine it, and those of several targets at once
//! count. What counts are the processes that ended, which instances that see the same ends agree on: a standing has the
//! first [`MAX_ENDS`] of them in their order, and joins by their union.
//!
//! The parts of a prompt are content, too, but a caller may name others for the same body. So a request with shared parts
//! has a second digest without them, which is blamed for each first digest under which a target ended.
//!
//! A quarantined request is tried when a delay has passed, by one instance at a time: those that know the fleet take
//! turns, in the order of their names. A trial counts when it is sent, before its outcome is known.

use std::time::Duration;

use common::{clock::Moment, random};
use fleet::exchange::{Crashes, Digest};

use crate::quarantine::ledger::{self, Ledger, Standing as _, Successes};

/// Processes of targets that ended under a request at which it is quarantined.
pub const MAX_ENDS: usize = 3;
/// Time from the quarantine until the first trial. By then targets that ended together are back or about to be.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Time from one trial to the next, and by how much it grows with each.
const TRIAL_DELAY: Duration = Duration::from_secs(150);
const TRIAL_DELAY_FACTOR: u32 = 4;
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);
/// Time in which one instance may try a request, and the end of it in which it no longer does, so that the next
/// instance hears of the trial in time.
const TURN: Duration = Duration::from_millis(500);
const TURN_MARGIN: Duration = Duration::from_millis(100);
/// Time for which a success shows that a request is sound. Longer than targets take to end together, and short, since a
/// request may begin to end targets at any time.
const SUCCESS_TTL: Duration = Duration::from_secs(2);
/// Age of a success up to which processes that end at the same time count as one: targets that ended together, and do so
/// again when they are back, have had no time for another success.
const RECENT_SUCCESS_AGE: Duration = Duration::from_secs(5);
/// Time within which such processes end.
const TURN_OF_ENDS: Duration = Duration::from_millis(300);
/// Requests whose standing is kept. A target that ends adds as many as it has slots.
const MAX_REQUESTS: usize = 4_096;
/// Requests whose last success is kept.
const MAX_SUCCESSES: usize = 8_192;
/// Time for which a standing that is no quarantine is repeated to other instances.
const REPETITION_TIME: Duration = Duration::from_secs(10);

/// How often a success cleared a request, the processes that ended since, and the trials since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Standing {
    clearings: u32,
    /// The smallest [`MAX_ENDS`] of those known, in ascending order.
    processes: Vec<u64>,
    trials: u32,
}

impl ledger::Standing for Standing {
    fn join(&mut self, other: &Standing) {
        if other.clearings != self.clearings {
            if other.clearings > self.clearings {
                self.clone_from(other);
            }
            return;
        }
        for process in &other.processes {
            self.add_process(*process);
        }
        self.trials = self.trials.max(other.trials);
    }

    fn blame(&self) -> u32 {
        u32::try_from(self.processes.len()).unwrap_or(u32::MAX)
    }

    fn is_quarantined(&self) -> bool {
        self.processes.len() >= MAX_ENDS
    }
}

type Entry = ledger::Entry<Standing>;

impl Standing {
    fn add_process(&mut self, process: u64) {
        if let Err(place) = self.processes.binary_search(&process) {
            self.processes.insert(place, process);
            self.processes.truncate(MAX_ENDS);
        }
    }

    /// Stands for the ends of one turn, as far as they count once: the request has succeeded not long ago, or another
    /// instance where it has counts this turn so.
    fn turn(&self, request: Digest, recent: bool, since: Moment, ended_at: Moment) -> Option<u64> {
        let known = self.processes.len();
        let apart = ended_at.since(since).max(since.since(ended_at));
        if let Some(last) = known.checked_sub(1).filter(|_| apart < TURN_OF_ENDS) {
            let process = self.turn_number(request, last);
            return (recent || self.processes.contains(&process)).then_some(process);
        }
        recent.then(|| self.turn_number(request, known))
    }

    fn turn_number(&self, request: Digest, number: usize) -> u64 {
        let low = u64::try_from(request.0 & u128::from(u64::MAX)).unwrap_or_default();
        let fields = [low, u64::from(self.clearings), u64::try_from(number).unwrap_or(u64::MAX)];
        fields.into_iter().fold(0, |hash, field| random::mix(hash ^ field))
    }

    fn was_cleared(&self) -> bool {
        self.clearings > 0 && self.is_clear()
    }

    fn is_clear(&self) -> bool {
        self.processes.is_empty() && self.trials == 0
    }
}

/// The content of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content {
    /// All of it.
    pub whole: Digest,
    /// All but the shared parts of the prompt; `None` if there are none.
    pub without_parts: Option<Digest>,
}

impl From<Digest> for Content {
    /// Content without shared parts of a prompt.
    fn from(whole: Digest) -> Content {
        Content { whole, without_parts: None }
    }
}

impl Content {
    fn digests(self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.whole).chain(self.without_parts)
    }
}

/// The place of this instance among those that may try quarantined requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its position in the order of names, from 0.
    pub position: u32,
    /// The number of instances.
    pub instances: u32,
}

/// The requests that targets have ended on, as one instance knows them. One table serves all services: the route of a
/// request may lead to several.
#[derive(Clone, Debug)]
pub struct Quarantine {
    entries: Ledger<Digest, Standing>,
    successes: Successes<Digest>,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine {
            entries: Ledger::new(MAX_REQUESTS),
            successes: Successes::new(SUCCESS_TTL, MAX_SUCCESSES),
        }
    }
}

impl Quarantine {
    /// Checks whether a request may be sent; `place` is unknown to an instance that doesn't know the fleet yet.
    ///
    /// # Errors
    ///
    /// Returns the time until this instance may try the request if it is quarantined and no trial is due.
    pub fn admit(
        &self,
        content: impl Into<Content>,
        place: Option<Place>,
        now: Moment,
    ) -> Result<(), Duration> {
        let due = |entry: &Entry| entry.since + delay(entry.standing.trials);
        let Some(due) = self.quarantined(content.into()).map(|(_, entry)| due(entry)).max() else {
            return Ok(());
        };
        let Some(place) = place else {
            return Err(FIRST_TRIAL_DELAY);
        };
        let wait = wait(due, place, now);
        if wait.is_zero() { Ok(()) } else { Err(wait) }
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, content: impl Into<Content>) -> bool {
        self.quarantined(content.into()).next().is_some()
    }

    fn quarantined(&self, content: Content) -> impl Iterator<Item = (Digest, &Entry)> {
        content.digests().filter_map(|digest| {
            let entry = self.entries.get(digest)?;
            entry.standing.is_quarantined().then_some((digest, entry))
        })
    }

    /// Checks again right before an admitted request is sent, and counts a trial; returns the states that changed, for
    /// the other instances.
    ///
    /// # Errors
    ///
    /// Returns the time until this instance may try the request if it is quarantined and no trial is due.
    pub fn begin(
        &mut self,
        content: impl Into<Content>,
        place: Option<Place>,
        now: Moment,
    ) -> Result<Vec<Crashes>, Duration> {
        let content = content.into();
        self.admit(content, place, now)?;
        let tried = |(digest, entry): (Digest, &Entry)| {
            let trials = entry.standing.trials.saturating_add(1);
            (digest, Standing { trials, ..entry.standing.clone() })
        };
        let tried: Vec<(Digest, Standing)> = self.quarantined(content).map(tried).collect();
        let raise = |(digest, standing)| self.raise(digest, standing, now, now);
        Ok(tried.into_iter().filter_map(raise).collect())
    }

    /// Whether an end of a target could be blamed on a request.
    pub fn is_unproven(&self, content: impl Into<Content>, now: Moment) -> bool {
        !self.successes.is_proven(content.into().whole, now)
    }

    /// Records that a process of a target ended now while it had a request; returns the states that changed, for the
    /// other instances.
    pub fn record_end(
        &mut self,
        content: impl Into<Content>,
        process: u64,
        now: Moment,
    ) -> Vec<Crashes> {
        self.record_late_end(content, process, now, now)
    }

    /// [`Quarantine::record_end`] of a process that ended at `ended_at`, which shows only now. Successes count by that time.
    pub fn record_late_end(
        &mut self,
        content: impl Into<Content>,
        process: u64,
        ended_at: Moment,
        now: Moment,
    ) -> Vec<Crashes> {
        let Content { whole, without_parts } = content.into();
        let mut changed = Vec::from_iter(self.add_end(whole, process, ended_at, now));
        // The low half of the digest stands for all ends with these parts.
        let variant = u64::try_from(whole.0 & u128::from(u64::MAX)).unwrap_or_default();
        changed
            .extend(without_parts.and_then(|digest| self.add_end(digest, variant, ended_at, now)));
        changed
    }

    fn add_end(
        &mut self,
        request: Digest,
        process: u64,
        ended_at: Moment,
        now: Moment,
    ) -> Option<Crashes> {
        if self.successes.is_proven(request, ended_at) {
            return None;
        }
        let (mut standing, since) = self
            .entries
            .get(request)
            .map_or_else(Default::default, |entry| (entry.standing.clone(), entry.since));
        if standing.was_cleared() && since > ended_at {
            return None;
        }
        let recent = self.successes.is_recent(request, RECENT_SUCCESS_AGE, ended_at)
            || (standing.was_cleared() && ended_at.since(since) < RECENT_SUCCESS_AGE);
        let process = standing.turn(request, recent, since, ended_at).unwrap_or(process);
        standing.add_process(process);
        self.raise(request, standing, ended_at, now)
    }

    /// Records that a request succeeded; returns the states that changed, for the other instances.
    pub fn record_success(&mut self, content: impl Into<Content>, now: Moment) -> Vec<Crashes> {
        let mut changed = Vec::new();
        for digest in content.into().digests() {
            self.successes.record(digest, now);
            changed.extend(self.clear(digest, now));
        }
        changed
    }

    /// Merges the state of a request at another instance; returns an objection if the request succeeds here.
    pub fn merge(&mut self, crashes: &Crashes, now: Moment) -> Option<Crashes> {
        let mut standing = Standing {
            clearings: crashes.clearings,
            processes: Vec::new(),
            trials: crashes.trials,
        };
        for process in &crashes.processes {
            standing.add_process(*process);
        }
        let since = now - Duration::from_millis(crashes.age_ms);
        self.entries.raise(crashes.request, standing, since, now);
        if self.successes.is_proven(crashes.request, since) {
            return self.clear(crashes.request, now);
        }
        if self.successes.is_recent(crashes.request, RECENT_SUCCESS_AGE, since) {
            return self.count_as_turns(crashes.request, since, now);
        }
        None
    }

    /// The states that an instance which starts should have, the quarantined requests first.
    pub fn states(&self, now: Moment) -> Vec<Crashes> {
        let mut kept: Vec<Crashes> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.expired(now))
            .map(|(request, entry)| crashes(request, &entry.standing, now.since(entry.since)))
            .collect();
        kept.sort_unstable_by_key(|state| {
            (std::cmp::Reverse(state.processes.len()), state.request)
        });
        kept
    }

    /// The states that are repeated to other instances, in case that a notice was lost: those of quarantined requests,
    /// and others for some time.
    pub fn repeated_states(&self, now: Moment) -> Vec<Crashes> {
        let limit = u64::try_from(REPETITION_TIME.as_millis()).unwrap_or(u64::MAX);
        let mut states = self.states(now);
        states.retain(|state| state.processes.len() >= MAX_ENDS || state.age_ms < limit);
        states
    }

    /// Number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.entries.quarantined()
    }

    /// Has the ends that others count one by one count as turns, of a request that succeeded here not long ago.
    fn count_as_turns(&mut self, request: Digest, since: Moment, now: Moment) -> Option<Crashes> {
        let known = &self.entries.get(request)?.standing;
        let numbers = (0..MAX_ENDS).map(|number| known.turn_number(request, number));
        let turns = numbers.filter(|number| known.processes.contains(number)).count();
        if known.processes.len() < 2 || turns == known.processes.len() {
            return None;
        }
        let clearings = known.clearings.saturating_add(1);
        let mut standing = Standing { clearings, ..Standing::default() };
        for number in 0..turns.max(1) {
            standing.add_process(standing.turn_number(request, number));
        }
        self.raise(request, standing, since, now)
    }

    fn clear(&mut self, request: Digest, now: Moment) -> Option<Crashes> {
        let standing = &self.entries.get(request)?.standing;
        if standing.is_clear() {
            return None;
        }
        let clearings = standing.clearings.saturating_add(1);
        self.raise(request, Standing { clearings, ..Standing::default() }, now, now)
    }

    fn raise(
        &mut self,
        request: Digest,
        standing: Standing,
        since: Moment,
        now: Moment,
    ) -> Option<Crashes> {
        let state = crashes(request, &standing, now.since(since));
        self.entries.raise(request, standing, since, now).then_some(state)
    }
}

/// Time from the quarantine, or from the last trial, to the next one.
fn delay(trials: u32) -> Duration {
    let Some(further) = trials.checked_sub(1) else {
        return FIRST_TRIAL_DELAY;
    };
    TRIAL_DELAY.saturating_mul(TRIAL_DELAY_FACTOR.saturating_pow(further)).min(MAX_TRIAL_DELAY)
}

/// Time until this instance may try a request for which a trial is due at `due`; zero if it may now.
fn wait(due: Moment, place: Place, now: Moment) -> Duration {
    let instances = place.instances.max(1);
    let cycle = TURN * instances;
    let first = due + TURN * (place.position % instances);
    if now < first {
        return first.since(now);
    }
    let cycle_ms = u64::try_from(cycle.as_millis()).unwrap_or(u64::MAX);
    let elapsed = now.0.saturating_sub(first.0) % cycle_ms;
    let elapsed = Duration::from_millis(elapsed);
    let open = if instances == 1 { cycle } else { TURN.saturating_sub(TURN_MARGIN) };
    if elapsed < open { Duration::ZERO } else { cycle.saturating_sub(elapsed) }
}

fn crashes(request: Digest, standing: &Standing, age: Duration) -> Crashes {
    let Standing { clearings, processes, trials } = standing.clone();
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Crashes { request, clearings, processes, trials, age_ms }
}
