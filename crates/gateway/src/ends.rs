//! Examines whether the process of a target has ended under a request, and has the request and the parts of its prompt
//! blamed if so. The decisions are in [`placement::end`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use fleet::{
    exchange::{Access, Crashes, Notice, Part, Process, Suspicion},
    registry::Target,
};
use placement::{
    end::{Verdict, Watch},
    quarantine::{
        self, Ticket,
        request::{self, Content},
    },
};
use slog::info;
use tokio::{
    sync::{Semaphore, mpsc, oneshot, watch},
    task::JoinSet,
    time,
};

use crate::{connection, state::Gateway};

/// Capacity of the queue of questions to other instances; those that find it full are not asked.
const MAX_QUEUED_QUESTIONS: usize = 64;
/// Processes about which other instances are asked at once.
const MAX_EXAMINED: usize = 16;
/// Questions of other instances that are examined at once.
const MAX_PROBES: usize = 32;
/// Other targets of a service that are tried when one refuses connections.
const MAX_OTHERS: usize = 3;
/// Time after which another target is tried once more: a cut doesn't reach all connections at the same moment.
const RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest time for which a request waits for the verdict before it is sent again; the examination goes on afterwards.
const LONGEST_DELAY: Duration = Duration::from_millis(150);

/// A question to other instances: whether a process has ended.
#[derive(Debug)]
pub struct Question {
    /// The process.
    pub process: Process,
    /// What this instance sees of it.
    pub own: Access,
    /// Receives what they think.
    pub verdict: oneshot::Sender<Verdict>,
}

/// What is blamed if a process has ended.
#[derive(Clone, Debug)]
pub(crate) struct Blame {
    pub(crate) service: name::Service,
    /// The parts of the prompt that may be the reason.
    pub(crate) parts: Vec<Part>,
    pub(crate) ticket: Ticket,
    /// Content of the request, if that may be the reason.
    pub(crate) content: Option<Content>,
    /// Stands for the process.
    pub(crate) process: u64,
    /// When the connection to it was lost.
    pub(crate) lost_at: Moment,
    /// Id of the request, for logs.
    pub(crate) id: String,
    /// Name of the target, for logs.
    pub(crate) target: name::Target,
}

impl Blame {
    fn record(&self, gateway: &Gateway) {
        let quarantine = &gateway.quarantine;
        let Blame { service, parts, ticket, .. } = self;
        let notices = quarantine.record_end(service, parts, ticket);
        log_suspicions(gateway, "engine_ended", &self.id, &self.target.0, &notices);
        gateway.notify_peers(notices);
        let Some(content) = self.content else {
            return;
        };
        let notices = quarantine.record_request_end(content, self.process, self.lost_at);
        log_crashes(gateway, "target_ended", &self.id, &self.target.0, &notices);
        gateway.notify_peers(notices);
    }
}

/// The processes that may have ended.
#[derive(Debug)]
pub struct Table {
    watched: Mutex<Watch<Blame>>,
    /// Processes about which other instances are asked, by their hash; the receivers end with the examination.
    examined: Mutex<Map<u64, watch::Receiver<()>>>,
    questions: mpsc::Sender<Question>,
    probes: Semaphore,
}

impl Table {
    /// Creates an empty table; the receiver yields the questions to other instances.
    pub(crate) fn new() -> (Table, mpsc::Receiver<Question>) {
        let (questions, receiver) = mpsc::channel(MAX_QUEUED_QUESTIONS);
        let table = Table {
            watched: Mutex::default(),
            examined: Mutex::default(),
            questions,
            probes: Semaphore::new(MAX_PROBES),
        };
        (table, receiver)
    }

    /// Has a request blamed if the process to which its connection was lost turns out to have ended.
    pub(crate) fn watch(&self, process: &Process, blame: Blame) {
        self.lock().add(process.clone(), blame, Moment::now());
    }

    /// What is blamed now that a target has announced itself.
    pub(crate) fn see_target(&self, target: &Target) -> Vec<Blame> {
        self.lock().see(target, Moment::now())
    }

    async fn ask(&self, process: &Process, own: Access) -> Verdict {
        let (verdict, receiver) = oneshot::channel();
        let question = Question { process: process.clone(), own, verdict };
        if self.questions.try_send(question).is_err() {
            metrics::counter!("daisydrum_end_questions_unasked_total").increment(1);
            return Verdict::Open;
        }
        receiver.await.unwrap_or(Verdict::Open)
    }

    /// Begins the examination of a process: the sender ends it when it is dropped. The receiver waits for that; there is
    /// only one if another request has begun it, and neither if too many are under way.
    fn begin(&self, process: u64) -> (Option<watch::Sender<()>>, Option<watch::Receiver<()>>) {
        let mut examined = self.examined.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(receiver) = examined.get(&process) {
            return (None, Some(receiver.clone()));
        }
        if examined.len() >= MAX_EXAMINED {
            return (None, None);
        }
        let (sender, receiver) = watch::channel(());
        examined.insert(process, receiver.clone());
        (Some(sender), Some(receiver))
    }

    fn finish(&self, process: u64) {
        self.examined.lock().unwrap_or_else(PoisonError::into_inner).remove(&process);
    }

    fn lock(&self) -> MutexGuard<'_, Watch<Blame>> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records what ended with a target that was replaced.
pub(crate) fn record(gateway: &Gateway, blamed: &[Blame]) {
    blamed.iter().for_each(|blame| blame.record(gateway));
}

/// Examines a process that is watched and refuses connections; returns once that is decided, or after a short time.
pub(crate) async fn examine(gateway: &Arc<Gateway>, process: Process, hash: u64) {
    let (sender, receiver) = gateway.ends.begin(hash);
    if let Some(sender) = sender {
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move {
            decide(&gateway, &process).await;
            gateway.ends.finish(hash);
            drop(sender);
        });
    }
    let Some(mut receiver) = receiver else {
        return;
    };
    // The change never comes: the wait ends with the sender, or with the time.
    let _ended = time::timeout(LONGEST_DELAY, receiver.changed()).await;
}

async fn decide(gateway: &Gateway, process: &Process) {
    // An instance that reaches no target of the service may be cut off and asks nobody.
    let own = if is_other_reached(gateway, process).await {
        Access::RefusedAlone
    } else {
        Access::Refused
    };
    let verdict = match own {
        Access::RefusedAlone => gateway.ends.ask(process, own).await,
        _ => Verdict::Open,
    };
    info!(gateway.log, "target_end_examined"; "target" => %process.target,
        "address" => %process.address, "own" => ?own, "verdict" => ?verdict);
    if verdict == Verdict::Ended {
        let blamed = gateway.ends.lock().end(process);
        record(gateway, &blamed);
    }
}

/// Whether a process accepts this instance's connections, for another instance that asks.
pub async fn probe(gateway: &Gateway, process: &Process) -> Access {
    let (replaced, current) = {
        let balancer = gateway.balancer();
        (balancer.is_replaced(process), balancer.is_current(process))
    };
    if replaced {
        return Access::Replaced;
    }
    let Ok(_permit) = gateway.ends.probes.try_acquire() else {
        return Access::Unknown;
    };
    if !current {
        return Access::Unknown;
    }
    match gateway.pool.open(process.address).await {
        Ok(connection) => {
            gateway.pool.put(process.address, connection);
            Access::Accepted
        }
        Err(connection::Error::Refused(_)) if is_other_reached(gateway, process).await => {
            Access::RefusedAlone
        }
        Err(connection::Error::Refused(_)) => Access::Refused,
        Err(_) => Access::Unknown,
    }
}

/// Whether another target of the service accepts a connection.
async fn is_other_reached(gateway: &Gateway, process: &Process) -> bool {
    let others = gateway.balancer().others(&process.target, MAX_OTHERS, Moment::now());
    let mut attempts = JoinSet::new();
    for address in others {
        let pool = gateway.pool.clone();
        attempts.spawn(async move {
            // The first connection may have been made right before a cut that ended the one that was lost.
            let _first = pool.open(address).await?;
            time::sleep(RECHECK_DELAY).await;
            pool.open(address).await.map(|connection| (address, connection))
        });
    }
    while let Some(attempt) = attempts.join_next().await {
        if let Ok(Ok((address, connection))) = attempt {
            gateway.pool.put(address, connection);
            return true;
        }
    }
    false
}

/// Logs the standings of requests that changed.
pub(crate) fn log_crashes(
    gateway: &Gateway,
    cause: &'static str,
    id: &str,
    target: &str,
    notices: &[Notice],
) {
    for notice in notices {
        let Notice::Crashes(states) = notice else {
            continue;
        };
        for Crashes { request, clearings, processes, trials, .. } in states {
            info!(gateway.log, "request_standing"; "cause" => cause, "id" => id,
                "target" => target, "digest" => %request,
                "clearings" => clearings, "ends" => processes.len(), "trials" => trials,
                "quarantined" => processes.len() >= request::MAX_ENDS);
        }
    }
}

/// Logs the standings of prompt parts that changed.
pub(crate) fn log_suspicions(
    gateway: &Gateway,
    cause: &'static str,
    id: &str,
    target: &str,
    notices: &[Notice],
) {
    for notice in notices {
        let Notice::Suspicions { suspicions, .. } = notice else {
            continue;
        };
        for Suspicion { part, clearings, ends, .. } in suspicions {
            info!(gateway.log, "part_standing"; "cause" => cause, "id" => id, "target" => target,
                "part" => format!("{part:x}"), "clearings" => clearings, "ends" => ends,
                "quarantined" => *ends >= quarantine::MAX_ENDS);
        }
    }
}
