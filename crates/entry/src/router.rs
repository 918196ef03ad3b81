//! The thread that owns the router's decisions.
//!
//! Requests and reports reach it over one bounded ring. A request that finds the ring full is refused, *not run*.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{cancel, clock::Moment, collections, name, ring};
use route::{
    request::{Action, Dispatch, Event, Execution, Reason, Refusal, Request, Ticket},
    router::{Outstanding, Owner, Router, Setup},
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use wire::{operator, target};

use crate::{directory::Directory, fleet::Fleet, remote::DataCentres};

const RING_COMMANDS: usize = 65_536;
/// Commands that the ring holds at most before requests are refused, so that reports always find room.
const RING_REQUESTS: usize = 32_768;
const TICK: Duration = Duration::from_millis(50);
const MAX_BATCH: usize = 256;
/// Most updates that wait for one request: a dispatch and its preemption, or a last word.
const UPDATES: usize = 8;
const REPORT_PAUSE: Duration = Duration::from_millis(1);
const REPORT_TRIES: u32 = 5_000;
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Messages to the router's thread.
#[derive(Debug)]
pub enum Command {
    /// A request asks to be admitted.
    Submit(Box<Submission>),
    /// Something became of an attempt.
    Report(Report),
    /// The caller of a request has gone, or its time is over.
    Cancel(Ticket),
    /// A target announced itself.
    Announce(Box<target::Announcement>),
    /// A target is gone.
    RemoveTarget(name::Target),
    /// Another instance's requests on a target.
    PeerOutstanding(Outstanding),
    /// What another data centre can take.
    RemoteCapacity(Box<RemoteCapacity>),
    /// How many instances of the data centre share its targets.
    Instances(u32),
    /// Services as the tree in force declares them.
    Configure(Arc<Directory>),
    /// Asks for the targets.
    ListTargets(oneshot::Sender<Vec<operator::Target>>),
    /// Asks for the instance's own requests by target.
    ListOutstanding(oneshot::Sender<Vec<Outstanding>>),
}

/// What another data centre can take.
#[derive(Clone, Debug)]
pub struct RemoteCapacity {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Where its instances take callers.
    pub addresses: Vec<SocketAddr>,
    /// Its services.
    pub services: Vec<ServiceCapacity>,
}

/// What another data centre can take of one service.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    /// The partner and the service.
    pub owner: Owner,
    /// Whether its targets are engines.
    pub kind: target::Kind,
    /// Models that they serve.
    pub models: Vec<String>,
    /// Requests that they run at once.
    pub slots: u32,
    /// Requests that they run or hold now.
    pub load: u32,
}

/// A request that asks to be admitted.
#[derive(Debug)]
pub struct Submission {
    request: Request,
    updates: mpsc::Sender<Update>,
    reply: oneshot::Sender<Result<Ticket, Refusal>>,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt.
    pub attempt: u32,
    /// What became of it.
    pub event: Event,
}

/// What a request is told.
#[derive(Debug)]
pub enum Update {
    /// Send an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancel the attempt of this number; another follows.
    Preempt(u32),
    /// The request did not run and will not.
    Refuse(Refusal),
    /// The request failed after it had been sent.
    Fail(Execution),
}

/// A request that was admitted.
#[derive(Debug)]
pub struct Admission {
    /// The request.
    pub ticket: Ticket,
    /// What it is told.
    pub updates: mpsc::Receiver<Update>,
}

/// Sends commands to the router's thread.
#[derive(Clone, Debug)]
pub struct Handle(ring::Sender<Command>);

impl Handle {
    /// Sends a command without waiting.
    ///
    /// # Errors
    ///
    /// Returns the ring's refusal when it is full or the thread has ended.
    pub fn send(&self, command: Command) -> Result<(), ring::Refusal> {
        self.0.send(command)
    }

    /// Asks for a request to be admitted.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request did not run.
    pub async fn submit(&self, request: Request) -> Result<Admission, Refusal> {
        let full = Refusal { reason: Reason::QueueFull, retry_after: FULL_RETRY_AFTER };
        if self.0.depth() > RING_REQUESTS {
            return Err(full);
        }
        let (updates, received) = mpsc::channel(UPDATES);
        let (reply, ticket) = oneshot::channel();
        let submission = Submission { request, updates, reply };
        self.send(Command::Submit(Box::new(submission))).map_err(|_refusal| full)?;
        let ticket = ticket.await.map_err(|_ended| full)??;
        Ok(Admission { ticket, updates: received })
    }

    /// Reports on an attempt. It is tried again while the ring is full, since a lost report would hold a slot.
    pub async fn report(&self, report: Report) {
        self.insist(|| Command::Report(report)).await;
    }

    /// Forgets a request.
    pub async fn cancel(&self, ticket: Ticket) {
        self.insist(|| Command::Cancel(ticket)).await;
    }

    async fn insist(&self, command: impl Fn() -> Command) {
        for _ in 0..REPORT_TRIES {
            match self.send(command()) {
                Ok(()) | Err(ring::Refusal::Closed) => return,
                Err(ring::Refusal::Full) => time::sleep(REPORT_PAUSE).await,
            }
        }
        metrics::counter!("daisydrum_reports_lost_total").increment(1);
    }
}

/// Starts the router's thread; it ends once `end` is cancelled.
///
/// # Errors
///
/// Returns the operating system's error when the thread can't be started.
pub fn start(setup: Setup, end: cancel::Token) -> io::Result<(Handle, JoinHandle<()>)> {
    let (sender, receiver) = ring::bounded(RING_COMMANDS);
    let state = State {
        router: Router::new(setup),
        fleet: Fleet::default(),
        remote: DataCentres::default(),
        updates: collections::Map::default(),
    };
    let thread = thread::Builder::new()
        .name(String::from("router"))
        .spawn(move || state.run(&receiver, &end))?;
    Ok((Handle(sender), thread))
}

struct State {
    router: Router,
    fleet: Fleet,
    remote: DataCentres,
    updates: collections::Map<Ticket, mpsc::Sender<Update>>,
}

impl State {
    fn run(mut self, commands: &ring::Receiver<Command>, end: &cancel::Token) {
        while !end.is_cancelled() {
            let first = commands.recv_timeout(self.pause(Moment::now()));
            let now = Moment::now();
            for command in first.into_iter().chain(commands.try_iter().take(MAX_BATCH)) {
                self.handle(command, now);
                self.carry_out(now);
            }
            self.expire(now);
            self.router.tick(now);
            self.carry_out(now);
            self.publish();
        }
    }

    /// Time until something is due without a command.
    fn pause(&self, now: Moment) -> Duration {
        self.router.next_timer().map_or(TICK, |due| due.since(now).min(TICK))
    }

    fn handle(&mut self, command: Command, now: Moment) {
        match command {
            Command::Submit(submission) => self.submit(*submission, now),
            Command::Report(report) => self.report(report, now),
            Command::Cancel(ticket) => {
                self.updates.remove(&ticket);
                self.router.cancel(ticket, now);
            }
            Command::Announce(announcement) => {
                self.router.handle_announcement(&announcement, now);
                self.fleet.observe(*announcement, now);
            }
            Command::RemoveTarget(target) => self.depart(&target),
            Command::PeerOutstanding(other) => {
                self.router.set_peer_outstanding(&other.target, other.requests, now);
            }
            Command::RemoteCapacity(capacity) => {
                self.remote.apply(&mut self.router, &capacity, now);
            }
            Command::Instances(count) => self.router.set_instances(count),
            Command::Configure(directory) => self.configure(&directory),
            Command::ListTargets(reply) => {
                // The asker may have given up; then nobody needs the list.
                let _unsent = reply.send(self.fleet.list(&self.router));
            }
            Command::ListOutstanding(reply) => {
                let _unsent = reply.send(self.router.outstanding().collect());
            }
        }
    }

    fn submit(&mut self, submission: Submission, now: Moment) {
        let admitted = self.router.submit(submission.request, now);
        if let Ok(ticket) = admitted {
            self.updates.insert(ticket, submission.updates);
        }
        let unheard = submission.reply.send(admitted);
        if let Err(Ok(ticket)) = unheard {
            self.updates.remove(&ticket);
            self.router.cancel(ticket, now);
        }
    }

    fn report(&mut self, report: Report, now: Moment) {
        self.router.report(report.ticket, report.attempt, report.event, now);
        if report.event == Event::Finished {
            self.updates.remove(&report.ticket);
        }
    }

    fn configure(&mut self, directory: &Directory) {
        for service in directory.services() {
            self.router.configure(&service.owner, (*service.settings).clone());
        }
    }

    fn expire(&mut self, now: Moment) {
        for target in self.fleet.expired(now) {
            self.depart(&target);
        }
        self.remote.expire(&mut self.router, now);
    }

    fn depart(&mut self, target: &name::Target) {
        self.fleet.depart(target);
        self.router.remove_target(target);
    }

    /// Tells requests what the router decided.
    fn carry_out(&mut self, now: Moment) {
        while let Some(action) = self.router.next_action() {
            match action {
                Action::Dispatch(dispatch) => {
                    self.tell(dispatch.ticket, Update::Dispatch(Box::new(dispatch)), now);
                }
                Action::Preempt { ticket, attempt } => {
                    self.tell(ticket, Update::Preempt(attempt), now);
                }
                Action::Refuse { ticket, refusal } => {
                    self.tell_last(ticket, Update::Refuse(refusal));
                }
                Action::Fail { ticket, execution } => {
                    self.tell_last(ticket, Update::Fail(execution));
                }
            }
        }
    }

    /// A request that can't be told has gone; what it held is given back.
    fn tell(&mut self, ticket: Ticket, update: Update, now: Moment) {
        let told =
            self.updates.get(&ticket).is_some_and(|updates| updates.try_send(update).is_ok());
        if !told {
            self.updates.remove(&ticket);
            self.router.cancel(ticket, now);
        }
    }

    fn tell_last(&mut self, ticket: Ticket, update: Update) {
        if let Some(updates) = self.updates.remove(&ticket) {
            // A request that has gone needs no last word.
            let _untold = updates.try_send(update);
        }
    }

    fn publish(&self) {
        let totals = self.router.totals();
        metrics::gauge!("daisydrum_requests_waiting").set(totals.waiting as f64);
        metrics::gauge!("daisydrum_attempts_running").set(totals.running as f64);
        metrics::gauge!("daisydrum_targets").set(totals.targets as f64);
    }
}
