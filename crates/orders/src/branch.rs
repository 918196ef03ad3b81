//! Client of the replicated log of the branch that owns a data centre.

use std::time::Duration;

use common::name;
use control::{
    command::Command,
    intent::{self, Open, Settle},
    lease::{self, Grant, Release, Renew, Session},
    query::{Answer, Query},
    reply::Reply,
};
use spread::replicated_log;
use tokio::runtime;

use crate::{
    authority::{Authority, Error, Opening},
    intent::{Ending, Intent, Record, Settled},
};

/// Longest wait for a reply of the log.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The access of one process to the log of a branch.
#[derive(Clone, Debug)]
pub struct Client<L> {
    /// The replicated logs of all branches.
    pub log: L,
    /// The branch that owns the data centre.
    pub branch: name::Branch,
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// This instance.
    pub holder: name::Instance,
    /// Distinguishes this process from other processes of the instance.
    pub session: Session,
    /// Runs the calls.
    pub runtime: runtime::Handle,
}

impl<L: replicated_log::Client> Client<L> {
    fn submit(&self, command: Command) -> Result<Reply, Error> {
        self.runtime.block_on(self.log.submit(&self.branch, command, TIMEOUT)).map_err(|failure| {
            match failure {
                replicated_log::Error::NotAccepted { .. }
                | replicated_log::Error::Unknown { .. } => Error::Unreachable,
            }
        })
    }

    fn query(&self, query: Query) -> Result<Answer, Error> {
        let answer = self.runtime.block_on(self.log.query(&self.branch, query, TIMEOUT));
        answer.map_err(|_failure| Error::Unreachable)
    }

    fn lease(&self, command: Command) -> Result<u64, Error> {
        match self.submit(command)? {
            Reply::Lease(lease::Reply::Granted { fencing, .. }) => Ok(fencing),
            Reply::Lease(lease::Reply::Held { wait_ms, .. }) => {
                Err(Error::Held { wait: Duration::from_millis(wait_ms) })
            }
            Reply::Lease(lease::Reply::Released) => Ok(0),
            _ => Err(Error::Lost),
        }
    }
}

impl<L: replicated_log::Client> Authority for Client<L> {
    fn grant(&mut self, term: Duration) -> Result<u64, Error> {
        self.lease(Command::Grant(Grant {
            data_centre: self.data_centre.clone(),
            holder: self.holder.clone(),
            session: self.session,
            term_ms: u64::try_from(term.as_millis()).unwrap_or(u64::MAX),
        }))
    }

    fn renew(&mut self, fencing: u64) -> Result<(), Error> {
        let renew = Renew { data_centre: self.data_centre.clone(), session: self.session, fencing };
        self.lease(Command::Renew(renew)).map(drop)
    }

    fn release(&mut self, fencing: u64) -> Result<(), Error> {
        let release =
            Release { data_centre: self.data_centre.clone(), session: self.session, fencing };
        self.lease(Command::Release(release)).map(drop)
    }

    fn records(&mut self) -> Result<Vec<Record>, Error> {
        let query = Query::Intents { data_centre: self.data_centre.clone() };
        match self.query(query)? {
            Answer::Intents(intents) => Ok(intents.into_iter().map(record).collect()),
            _ => Err(Error::Unreachable),
        }
    }

    fn drains(&mut self) -> Result<Vec<name::Target>, Error> {
        let query = Query::Drains { data_centre: self.data_centre.clone() };
        match self.query(query)? {
            Answer::Drains(drains) => Ok(drains.into_iter().map(|drain| drain.target).collect()),
            _ => Err(Error::Unreachable),
        }
    }

    fn open(&mut self, fencing: u64, intent: &Intent) -> Result<Opening, Error> {
        let action = serde_json::to_string(&intent.action)
            .expect("invariant: values whose map keys are strings serialise to JSON");
        let reply = self.submit(Command::Open(Open {
            data_centre: self.data_centre.clone(),
            fencing,
            target: intent.target.clone(),
            id: intent.id.clone(),
            action,
        }))?;
        match reply {
            Reply::Intent(intent::Reply::Opened) => Ok(Opening::Opened),
            Reply::Intent(intent::Reply::Ended { ending }) => Ok(Opening::Ended(ending)),
            Reply::Intent(intent::Reply::Full) => Ok(Opening::Full),
            Reply::Intent(intent::Reply::Busy { open }) => {
                decode(&intent.target, &open).map(Opening::Busy).ok_or(Error::Unreachable)
            }
            _ => Err(Error::Lost),
        }
    }

    fn settle(&mut self, fencing: u64, intent: &Intent, ending: Ending) -> Result<(), Error> {
        let reply = self.submit(Command::Settle(Settle {
            data_centre: self.data_centre.clone(),
            fencing,
            target: intent.target.clone(),
            id: intent.id.clone(),
            ending,
        }))?;
        match reply {
            Reply::Intent(intent::Reply::Stale) => Err(Error::Lost),
            _ => Ok(()),
        }
    }
}

fn record(recorded: control::query::Intent) -> Record {
    let target = recorded.target;
    Record {
        open: recorded.record.open.and_then(|open| decode(&target, &open)),
        last: recorded.record.last.and_then(|last| {
            Some(Settled { intent: decode(&target, &last.intent)?, ending: last.ending })
        }),
        target,
    }
}

/// Decodes an intent of the log; `None` if this version of the program doesn't know its action.
fn decode(target: &name::Target, recorded: &intent::Intent) -> Option<Intent> {
    let action = serde_json::from_str(&recorded.action).ok()?;
    Some(Intent { id: recorded.id.clone(), target: target.clone(), action })
}
