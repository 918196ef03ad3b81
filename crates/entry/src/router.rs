//! The router's thread: owns the router and informs requests of its decisions.
//!
//! Commands reach it over one bounded ring. When the ring is too full, new requests are refused without having run.

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

/// Capacity of the ring.
const RING_COMMANDS: usize = 65_536;
/// Number of commands in the ring above which requests are refused, which leaves room for reports.
const RING_REQUESTS: usize = 32_768;
/// Longest time between two ticks of the router.
const TICK: Duration = Duration::from_millis(50);
/// Maximum number of commands between two ticks, in addition to the first.
const MAX_BATCH: usize = 256;
/// Capacity of the queue of updates of one request: a dispatch and its preemption, or its end.
const UPDATES: usize = 8;
/// Pause before a command is sent again when the ring is full.
const REPORT_PAUSE: Duration = Duration::from_millis(1);
/// Tries to send a report or a cancellation, after which it is lost.
const REPORT_TRIES: u32 = 5_000;
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Messages to the router's thread.
#[derive(Debug)]
pub enum Command {
    /// Admits a request.
    Submit(Box<Submission>),
    /// Reports progress or the end of an attempt.
    Report(Report),
    /// Removes a request whose caller has disconnected or whose deadline has passed.
    Cancel(Ticket),
    /// Handles a target's announcement.
    Announce(Box<target::Announcement>),
    /// Removes a target that has left.
    RemoveTarget(name::Target),
    /// Requests of the data centre's other instances that are running on a target.
    PeerOutstanding(Outstanding),
    /// Capacity that another data centre reports.
    RemoteCapacity(Box<RemoteCapacity>),
    /// Number of instances of the data centre, which share its targets.
    Instances(u32),
    /// The services of the declarations in force.
    Configure(Arc<Directory>),
    /// Lists the targets.
    ListTargets(oneshot::Sender<Vec<operator::Target>>),
    /// Lists the requests of this instance that are running on each target.
    ListOutstanding(oneshot::Sender<Vec<Outstanding>>),
}

/// Capacity of another data centre for requests of this one.
#[derive(Clone, Debug)]
pub struct RemoteCapacity {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Addresses at which its instances accept callers.
    pub addresses: Vec<SocketAddr>,
    /// The capacity for each service.
    pub services: Vec<ServiceCapacity>,
}

/// Capacity of another data centre for one service.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    /// The partner and the service.
    pub owner: Owner,
    /// Kind of its targets.
    pub kind: target::Kind,
    /// Models that its targets serve.
    pub models: Vec<String>,
    /// Maximum number of requests that its targets run at once.
    pub slots: u32,
    /// Requests that are running or waiting there.
    pub load: u32,
}

/// A request for admission, with the channels to its driver.
#[derive(Debug)]
pub struct Submission {
    request: Request,
    updates: mpsc::Sender<Update>,
    reply: oneshot::Sender<Result<Ticket, Refusal>>,
}

/// Progress or the end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt.
    pub attempt: u32,
    /// What happened.
    pub event: Event,
}

/// A decision of the router on a request.
#[derive(Debug)]
pub enum Update {
    /// Start this attempt.
    Dispatch(Box<Dispatch>),
    /// Cancel the attempt with this number; another follows later.
    Preempt(u32),
    /// The request is refused; it did not run.
    Refuse(Refusal),
    /// The request failed after it had been sent.
    Fail(Execution),
}

/// An admitted request.
#[derive(Debug)]
pub struct Admission {
    /// The request.
    pub ticket: Ticket,
    /// Receives the router's decisions on it.
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
    /// Returns a [`ring::Refusal`] if the ring is full or the thread has ended.
    pub fn send(&self, command: Command) -> Result<(), ring::Refusal> {
        self.0.send(command)
    }

    /// Submits a request for admission.
    ///
    /// # Errors
    ///
    /// Returns the router's [`Refusal`], also if the ring is too full; the request did not run.
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

    /// Reports on an attempt; sends again while the ring is full, since a lost report would leave a slot occupied.
    pub async fn report(&self, report: Report) {
        self.send_with_retry(|| Command::Report(report)).await;
    }

    /// Removes a request from the router; sends again while the ring is full.
    pub async fn cancel(&self, ticket: Ticket) {
        self.send_with_retry(|| Command::Cancel(ticket)).await;
    }

    async fn send_with_retry(&self, command: impl Fn() -> Command) {
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
/// Returns the operating system's error if the thread can't be started.
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

/// State of the router's thread.
struct State {
    router: Router,
    fleet: Fleet,
    remote: DataCentres,
    /// Channels to the drivers of the requests that the router knows.
    updates: collections::Map<Ticket, mpsc::Sender<Update>>,
}

impl State {
    fn run(mut self, commands: &ring::Receiver<Command>, end: &cancel::Token) {
        while !end.is_cancelled() {
            let first = commands.recv_timeout(self.next_wait(Moment::now()));
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

    /// Returns the longest time to wait for a command: until the router's next timer, at most [`TICK`].
    fn next_wait(&self, now: Moment) -> Duration {
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
                self.fleet.announce(*announcement, now);
            }
            Command::RemoveTarget(target) => self.remove_target(&target),
            Command::PeerOutstanding(other) => {
                self.router.set_peer_outstanding(&other.target, other.requests, now);
            }
            Command::RemoteCapacity(capacity) => {
                self.remote.apply(&mut self.router, &capacity, now);
            }
            Command::Instances(count) => self.router.set_instances(count),
            Command::Configure(directory) => self.configure(&directory),
            Command::ListTargets(reply) => {
                // This fails only if nobody waits for the list any more.
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
        let unsent = submission.reply.send(admitted);
        if let Err(Ok(ticket)) = unsent {
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
            self.remove_target(&target);
        }
        self.remote.expire(&mut self.router, now);
    }

    fn remove_target(&mut self, target: &name::Target) {
        self.fleet.remove(target);
        self.router.remove_target(target);
    }

    /// Sends the router's decisions to the drivers of the requests.
    fn carry_out(&mut self, now: Moment) {
        while let Some(action) = self.router.next_action() {
            match action {
                Action::Dispatch(dispatch) => {
                    self.notify(dispatch.ticket, Update::Dispatch(Box::new(dispatch)), now);
                }
                Action::Preempt { ticket, attempt } => {
                    self.notify(ticket, Update::Preempt(attempt), now);
                }
                Action::Refuse { ticket, refusal } => {
                    self.notify_end(ticket, Update::Refuse(refusal));
                }
                Action::Fail { ticket, execution } => {
                    self.notify_end(ticket, Update::Fail(execution));
                }
            }
        }
    }

    /// Sends an update to a request's driver. If that fails, the request is cancelled, which releases its slot.
    fn notify(&mut self, ticket: Ticket, update: Update, now: Moment) {
        let sent =
            self.updates.get(&ticket).is_some_and(|updates| updates.try_send(update).is_ok());
        if !sent {
            self.updates.remove(&ticket);
            self.router.cancel(ticket, now);
        }
    }

    /// Sends the last update to a request's driver.
    fn notify_end(&mut self, ticket: Ticket, update: Update) {
        if let Some(updates) = self.updates.remove(&ticket) {
            // If this fails, the driver has ended or ends when it finds the channel closed.
            let _unsent = updates.try_send(update);
        }
    }

    /// Sets the gauges of the router's totals.
    fn publish(&self) {
        let totals = self.router.totals();
        metrics::gauge!("daisydrum_requests_waiting").set(totals.waiting as f64);
        metrics::gauge!("daisydrum_attempts_running").set(totals.running as f64);
        metrics::gauge!("daisydrum_targets").set(totals.targets as f64);
    }
}
