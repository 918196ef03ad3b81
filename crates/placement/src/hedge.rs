//! Runs of one request beside each other, of which the first that brings something goes on.
//!
//! Silence of a target is not its end: it may go on, or its connection may stay silent while new ones work. So a silent
//! run is kept while another is started (hedged requests; Dean and Barroso 2013, "The Tail at Scale"), and waited for if
//! the other one fails.

use std::time::Duration;

use common::clock::Moment;

/// Runs of a request that may be live at a time; each takes a slot of a target.
pub const MAX_LIVE: usize = 3;

/// Number of a run among those of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(pub u32);

/// Whether the request may run once more: attempts and time are left, and nothing else forbids it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Another {
    /// It may.
    Allowed,
    /// It may not.
    Denied,
}

/// What is done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start another run.
    Start,
    /// Wait for the live runs.
    Wait,
    /// No run is live and none may be started.
    Fail,
}

/// What follows from a sign of life of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Whether its target had been silent.
    pub was_silent: bool,
    /// Runs to cancel.
    pub losers: Vec<Run>,
}

/// The live runs of a request.
#[derive(Clone, Debug, Default)]
pub struct Race {
    live: Vec<Live>,
    started: u32,
}

#[derive(Clone, Copy, Debug)]
struct Live {
    run: Run,
    /// When it was started, last heard of or last found silent.
    since: Moment,
    /// Time after which it counts as silent.
    limit: Duration,
    silent: bool,
}

impl Race {
    /// Adds a run that counts as silent after `limit`.
    pub fn start(&mut self, limit: Duration, now: Moment) -> Run {
        let run = Run(self.started);
        self.started += 1;
        self.live.push(Live { run, since: now, limit, silent: false });
        run
    }

    /// Number of runs that were started.
    pub fn started(&self) -> u32 {
        self.started
    }

    /// Number of live runs.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Whether a run is live.
    pub fn is_live(&self, run: Run) -> bool {
        self.live.iter().any(|live| live.run == run)
    }

    /// When [`Race::check`] is due.
    pub fn next_check(&self) -> Option<Moment> {
        self.live.iter().map(|live| live.since + live.limit).min()
    }

    /// Finds silent runs; returns those that have become silent since they were last heard of.
    pub fn check(&mut self, now: Moment) -> Vec<Run> {
        let mut silent = Vec::new();
        for live in self.live.iter_mut().filter(|live| live.since + live.limit <= now) {
            live.since = now;
            if !std::mem::replace(&mut live.silent, true) {
                silent.push(live.run);
            }
        }
        silent
    }

    /// Decides what follows when [`Race::check`] was due.
    pub fn after_silence(&self, another: Another) -> Decision {
        match another {
            Another::Allowed if self.live.len() < MAX_LIVE => Decision::Start,
            Another::Allowed | Another::Denied => Decision::Wait,
        }
    }

    /// Records that a run goes on with its next step, which counts as silent after `limit`; returns whether it had been
    /// silent.
    pub fn renew(&mut self, run: Run, limit: Duration, now: Moment) -> bool {
        let Some(live) = self.live.iter_mut().find(|live| live.run == run) else {
            return false;
        };
        live.since = now;
        live.limit = limit;
        std::mem::replace(&mut live.silent, false)
    }

    /// Records that a run brought something that goes to the caller: it goes on alone.
    pub fn win(&mut self, run: Run, limit: Duration, now: Moment) -> Heard {
        let was_silent = self.renew(run, limit, now);
        let losers = self.live.iter().map(|live| live.run).filter(|other| *other != run).collect();
        self.live.retain(|live| live.run == run);
        Heard { was_silent, losers }
    }

    /// Records that a run ended without completing the response, and decides what follows.
    pub fn after_end(&mut self, run: Run, another: Another) -> Decision {
        self.live.retain(|live| live.run != run);
        match another {
            Another::Allowed => Decision::Start,
            Another::Denied => self.after_refusal(),
        }
    }

    /// Decides what follows when no further run could be started.
    pub fn after_refusal(&self) -> Decision {
        if self.live.is_empty() { Decision::Fail } else { Decision::Wait }
    }
}
