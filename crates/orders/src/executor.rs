//! The thread that holds the lease of a data centre and carries out intents.

mod epoch;
mod monitor;

use std::{
    collections::VecDeque,
    io,
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{
    cancel,
    clock::Moment,
    name,
    ring::{self, Receiver, Sender},
};
use slog::{Logger, info, warn};

use self::epoch::{Epoch, Waiting};
pub use self::monitor::{Monitor, Outcome, Report, Task};
use crate::{
    authority::{Authority, Error},
    client::{self, Workers},
    intent::Proposal,
    inventory::Inventory,
    lease::{self, Lease},
    limiter::Limiter,
};

/// Most proposals in the queue to the executor, and most that wait for another intent to end.
const MAX_WAITING: usize = 4_096;
/// Polls between two readings of the drain marks.
const POLLS_PER_DRAIN_READING: u32 = 5;
/// Threads that call engines.
const WORKERS: usize = 4;

/// Settings of the executor.
#[derive(Clone, Debug)]
pub struct Options {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Term of the lease.
    pub term: Duration,
    /// Pause between two reads of an engine's state or of the log.
    pub poll_interval: Duration,
    /// Time without announcements after which an engine counts as gone and its open intent is settled.
    pub gone_after: Duration,
}

/// The running executor.
#[derive(Debug)]
pub struct Handle {
    /// Accepts proposals; when the queue is full, a proposal is refused.
    pub proposals: Sender<Proposal>,
    /// Gives the executor's report.
    pub monitor: Monitor,
    /// Ends after the token is cancelled and the lease is released.
    pub thread: JoinHandle<()>,
}

/// Starts the executor.
///
/// # Errors
///
/// Returns the operating system's error if a thread can't be created.
pub fn start<A, R>(
    options: Options,
    authority: A,
    inventory: R,
    token: cancel::Token,
    log: Logger,
) -> io::Result<Handle>
where
    A: Authority + Send + 'static,
    R: Inventory + Send + 'static,
{
    let cell = lease::Cell::default();
    let (proposals, inbox) = ring::bounded(MAX_WAITING);
    let monitor = Monitor::default();
    let executor = Executor {
        workers: client::start(WORKERS, &cell, &token)?,
        limiter: Limiter::new(inventory.load_limits(), Moment::now()),
        options,
        authority,
        inventory,
        cell,
        inbox,
        waiting: VecDeque::new(),
        epoch: None,
        epochs: 0,
        request_at: Moment::now(),
        read_drains_at: Moment::now(),
        monitor: monitor.clone(),
        log,
    };
    let thread =
        thread::Builder::new().name(String::from("orders")).spawn(move || executor.run(&token))?;
    Ok(Handle { proposals, monitor, thread })
}

struct Executor<A, R> {
    options: Options,
    authority: A,
    inventory: R,
    cell: lease::Cell,
    workers: Workers,
    inbox: Receiver<Proposal>,
    waiting: VecDeque<Waiting>,
    limiter: Limiter,
    epoch: Option<Epoch>,
    /// Number of epochs so far.
    epochs: u64,
    request_at: Moment,
    read_drains_at: Moment,
    monitor: Monitor,
    log: Logger,
}

impl<A: Authority, R: Inventory> Executor<A, R> {
    fn run(mut self, token: &cancel::Token) {
        while !token.is_cancelled() {
            self.tick();
            self.wait();
        }
        self.shut_down();
    }

    fn tick(&mut self) {
        self.maintain_lease();
        let engines = self.inventory.engines();
        if let Some(mut epoch) = self.epoch.take() {
            epoch.set_engines(engines, Moment::now());
            let result = self.process(&mut epoch);
            match result {
                Ok(()) | Err(Error::Unreachable) => self.epoch = Some(epoch),
                Err(Error::Lost | Error::Held { .. }) => self.drop_lease(epoch.fencing),
            }
        }
        self.monitor.publish(self.epoch.as_ref(), self.waiting.len());
    }

    /// Waits for a response for at most the poll interval, then takes the proposals from the queue.
    fn wait(&mut self) {
        if let Ok(response) = self.workers.responses.recv_timeout(self.options.poll_interval)
            && let Some(epoch) = &mut self.epoch
        {
            epoch.receive(response, &self.log);
        }
        while let Ok(proposal) = self.inbox.try_recv() {
            let is_known = self.waiting.iter().any(|other| other.is_same_as(&proposal));
            if self.waiting.len() < MAX_WAITING && !is_known {
                self.waiting.push_back(Waiting::new(proposal));
            }
        }
    }

    fn process(&mut self, epoch: &mut Epoch) -> Result<(), Error> {
        while let Ok(response) = self.workers.responses.try_recv() {
            epoch.receive(response, &self.log);
        }
        if epoch.is_superseded() {
            return Err(Error::Lost);
        }
        // Calls to a slow log must not delay the renewal until the lease has ended.
        let until = self.renewal_at();
        epoch.settle(&mut self.authority, until, &self.monitor, &self.log)?;
        self.limiter.set_limits(self.inventory.load_limits());
        if Moment::now() < until {
            self.read_drains(epoch)?;
        }
        epoch.enqueue_proposals(&mut self.waiting);
        epoch.open_intents(
            &mut self.waiting,
            until,
            &mut self.limiter,
            &mut self.authority,
            &self.log,
        )?;
        epoch.start_calls(&self.workers.calls, self.options.poll_interval, self.options.gone_after);
        Ok(())
    }

    fn read_drains(&mut self, epoch: &mut Epoch) -> Result<(), Error> {
        let now = Moment::now();
        if now < self.read_drains_at {
            return Ok(());
        }
        self.read_drains_at = now + self.options.poll_interval * POLLS_PER_DRAIN_READING;
        let drains = self.authority.drains()?;
        epoch.propose_drains(&drains);
        Ok(())
    }

    fn maintain_lease(&mut self) {
        let now = Moment::now();
        match (&self.epoch, self.cell.valid(now)) {
            (Some(_), Some(lease)) if now >= self.renewal_at() => self.renew(lease.fencing, now),
            (Some(_), Some(_)) => {}
            (Some(epoch), None) => {
                let fencing = epoch.fencing;
                self.drop_lease(fencing);
            }
            (None, _) if now >= self.request_at => self.request_lease(now),
            (None, _) => {}
        }
    }

    /// When the lease is to be renewed: after a third of its term; at once if it has ended.
    fn renewal_at(&self) -> Moment {
        let now = Moment::now();
        self.cell.valid(now).map_or(now, |lease| lease.until - self.options.term * 2 / 3)
    }

    fn request_lease(&mut self, now: Moment) {
        self.request_at = now + self.options.term / 4;
        match self.authority.grant(self.options.term) {
            Ok(fencing) => {
                self.cell.set(Lease { fencing, until: now + self.options.term });
                self.begin_epoch(fencing);
            }
            Err(Error::Held { wait }) => self.request_at = now + wait.min(self.options.term / 4),
            Err(Error::Lost | Error::Unreachable) => {}
        }
    }

    /// Reads the recorded intents of all targets, before any order is sent.
    fn begin_epoch(&mut self, fencing: u64) {
        let Ok(records) = self.authority.records() else {
            self.cell.clear();
            return;
        };
        self.epochs += 1;
        let epoch = Epoch::new(self.options.data_centre.clone(), fencing, self.epochs, records);
        info!(self.log, "lease taken"; "data_centre" => %self.options.data_centre, "fencing" => fencing,
            "open_intents" => epoch.open_count());
        self.epoch = Some(epoch);
    }

    fn renew(&mut self, fencing: u64, now: Moment) {
        match self.authority.renew(fencing) {
            Ok(()) => self.cell.set(Lease { fencing, until: now + self.options.term }),
            Err(Error::Unreachable) => {}
            Err(Error::Lost | Error::Held { .. }) => self.drop_lease(fencing),
        }
    }

    fn drop_lease(&mut self, fencing: u64) {
        self.cell.clear();
        self.epoch = None;
        self.waiting.retain(Waiting::is_certainly_not_recorded);
        self.request_at = Moment::now() + self.options.poll_interval;
        warn!(self.log, "lease lost"; "data_centre" => %self.options.data_centre, "fencing" => fencing);
    }

    /// Stops writing orders, waits for calls under way and releases the lease; open intents are left to the next
    /// holder.
    fn shut_down(mut self) {
        self.cell.clear();
        let Some(mut epoch) = self.epoch.take() else {
            return;
        };
        while epoch.is_calling() {
            let Ok(response) = self.workers.responses.recv_timeout(client::CALL_TIMEOUT * 2) else {
                return;
            };
            epoch.receive(response, &self.log);
        }
        let released = self.authority.release(epoch.fencing).is_ok();
        info!(self.log, "lease given back"; "data_centre" => %self.options.data_centre,
            "fencing" => epoch.fencing, "recorded" => released);
    }
}
