//! What happened in the attempts of a request so far.

use std::sync::{Mutex, MutexGuard, PoisonError};

use common::name;
use fleet::relay;
use placement::balancer::{Key, selection::Suggestion};
use tokio::sync::Notify;

/// What happened in the attempts of a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// The engines that a keeper suggests for the next attempt.
    pub(crate) suggestion: Option<Suggestion>,
    /// Targets that failed, rejected it or could not be reached.
    pub(crate) avoid: Vec<Key>,
    /// Targets that fell silent during a run and have not been heard of since.
    pub(crate) silent: Vec<Key>,
    /// Times that the request ran or may have run, besides separate prefills and live runs.
    pub(crate) runs: u32,
    /// Runs that have not ended.
    pub(crate) live: u32,
    /// Live runs in which the request is sent to the target that answers it; see [`Claim`]. Each of them is also counted
    /// in `live` until its end is applied, and in `runs` from then on unless it is withdrawn.
    claimed: u32,
    /// Whether no run may be claimed any more, since the request was refused.
    closed: bool,
    /// Rejections by targets that did not run it.
    pub(crate) rejections: u32,
    /// Prefills sent to another engine than the one that decodes, which may have accepted them.
    pub(crate) prefills: u32,
    /// Whether an engine has accepted one of them; until then each counts as a send.
    prefill_accepted: bool,
    /// Sends to targets that count for the retry budget.
    pub(crate) sends: u32,
    /// Whether the request was added to the retry budget.
    pub(crate) counted: bool,
    /// Whether it was counted for its organisation and the demand.
    pub(crate) metered: bool,
    /// Sends that the retry budget has paid for, including the first one, which is free.
    pub(crate) budgeted: u32,
    /// Connections that could not be made.
    pub(crate) unreached: u32,
    /// Peers that it was passed to.
    pub(crate) relays: u32,
    /// Those of them that could not serve it.
    pub(crate) avoided_peers: Vec<name::Instance>,
    /// Where the stream began, at which alone it may go on.
    pub(crate) began: Option<Beginning>,
}

/// Where a stream began.
#[derive(Clone, Debug)]
pub struct Beginning {
    /// The service; `None` if the route's only one.
    pub(crate) service: Option<name::Service>,
    pub(crate) software: name::Software,
}

impl From<relay::Beginning> for Beginning {
    fn from(began: relay::Beginning) -> Beginning {
        let relay::Beginning { service, software } = began;
        Beginning { service, software }
    }
}

impl From<Beginning> for relay::Beginning {
    fn from(began: Beginning) -> relay::Beginning {
        let Beginning { service, software } = began;
        relay::Beginning { service, software }
    }
}

impl Progress {
    /// The progress of a request of a peer, at which it had attempts.
    pub(crate) fn relayed(used: relay::Used, began: Option<Beginning>) -> Progress {
        Progress {
            runs: used.runs,
            sends: used.sends,
            counted: used.sends > 0,
            budgeted: used.sends,
            began,
            ..Progress::default()
        }
    }

    /// Records that a run has ended.
    pub(crate) fn end_run(&mut self) {
        self.live = self.live.saturating_sub(1);
    }

    /// Whether a target may have run the request, or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0 || self.claimed > 0
    }

    /// Lets no run be claimed any more; `false` if a target may have run the request.
    pub fn close(&mut self) -> bool {
        self.closed = !self.may_have_run();
        self.closed
    }

    /// Claims one of `limit` runs, if that is possible now or may be later.
    fn claim(&mut self, limit: u32) -> Availability {
        if self.closed {
            Availability::Never
        } else if self.runs + self.claimed + self.prefills.saturating_sub(1) < limit {
            self.claimed += 1;
            Availability::Now
        } else if self.claimed > 0 {
            Availability::Later
        } else {
            Availability::Never
        }
    }

    /// Records that a target rejected the request.
    pub(crate) fn record_rejection(&mut self, key: Key) {
        self.rejections += 1;
        self.avoid.push(key);
    }

    /// Records that a target could not be reached.
    pub(crate) fn record_unreached(&mut self, key: Key) {
        self.unreached += 1;
        self.avoid.push(key);
    }

    /// Records that the request is passed to a peer, which sends it.
    pub(crate) fn record_relay(&mut self) {
        self.relays += 1;
        self.sends += 1;
    }

    /// Records that the request is sent to a target.
    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records that no byte of a send reached the target.
    pub(crate) fn withdraw_send(&mut self) {
        self.sends = self.sends.saturating_sub(1);
    }

    /// Records that an engine has accepted a prefill: the first one belongs to the run that follows it.
    pub(crate) fn record_prefill_accepted(&mut self) {
        if !std::mem::replace(&mut self.prefill_accepted, true) {
            self.withdraw_send();
        }
    }

    /// Attempts used up: the first separate prefill belongs to the run that follows it, further ones count.
    pub(crate) fn attempts(&self) -> u32 {
        self.runs + self.live.max(self.claimed) + self.prefills.saturating_sub(1)
    }
}

/// Whether a run can be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    Now,
    /// When another run that has claimed one turns out not to have run.
    Later,
    Never,
}

/// The progress of one request, which its runs share.
#[derive(Debug, Default)]
pub struct Shared {
    progress: Mutex<Progress>,
    /// Notified when a claim has ended.
    claim_ended: Notify,
}

impl Shared {
    /// The progress of a request that had attempts elsewhere.
    pub(crate) fn new(progress: Progress) -> Shared {
        Shared { progress: Mutex::new(progress), claim_ended: Notify::new() }
    }

    /// The progress, locked.
    pub fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims one of `limit` runs of the request before it is sent to the target that answers it, so that no more of
    /// the runs beside each other reach one; waits while others that have claimed one may turn out not to have run.
    ///
    /// Returns nothing if all are used up.
    pub async fn claim(&self, limit: u32) -> Option<Claim<'_>> {
        loop {
            let ended = self.claim_ended.notified();
            let availability = self.lock().claim(limit);
            match availability {
                Availability::Now => return Some(Claim { shared: self, ran: true }),
                Availability::Later => ended.await,
                Availability::Never => return None,
            }
        }
    }
}

/// A claimed run. Unless it is withdrawn the target may have run the request.
#[derive(Debug)]
pub struct Claim<'a> {
    shared: &'a Shared,
    ran: bool,
}

impl Claim<'_> {
    /// Gives the run back: the target did not run the request.
    pub fn withdraw(mut self) {
        self.ran = false;
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        let mut progress = self.shared.lock();
        progress.claimed -= 1;
        progress.runs += u32::from(self.ran);
        drop(progress);
        self.shared.claim_ended.notify_waiters();
    }
}
