//! Intents: orders that are recorded in the log before they are sent. At most one is open for each target.

use std::collections::BTreeMap;

use common::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum number of targets with a record; a further target replaces the oldest record without an open intent.
pub const MAX_TARGETS: usize = 20_000;

/// Command that opens an intent: it records an order before the order is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The data centre of the target.
    pub data_centre: name::DataCentre,
    /// The fencing token of the sender's lease.
    pub fencing: u64,
    /// The target.
    pub target: name::Target,
    /// Identifies the order; a repeated command with the same id gets the order's current state as its reply.
    pub id: String,
    /// The order's action as JSON text, as it is sent to the target.
    pub action: String,
}

/// Command that settles an intent: it records the outcome of the intent's order.
///
/// The sender of the order submits it, or a later lease holder that has read the target's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The data centre of the target.
    pub data_centre: name::DataCentre,
    /// The fencing token of the lease of the instance that settles the intent.
    pub fencing: u64,
    /// The target.
    pub target: name::Target,
    /// The order's id.
    pub id: String,
    /// How it ended.
    pub ending: Ending,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum Ending {
    /// Carried out.
    Done,
    /// Not carried out.
    Failed,
    /// The target is gone and won't return, so the outcome no longer matters.
    Gone,
}

/// An order that was recorded before it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's id.
    pub id: String,
    /// The order's action as JSON text.
    pub action: String,
    /// The fencing token of the lease under which it was opened.
    pub fencing: u64,
    /// Index of its [`Open`] command in the log.
    pub index: u64,
}

/// An intent that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The intent.
    pub intent: Intent,
    /// How it ended.
    pub ending: Ending,
}

/// The intents of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// The open intent.
    pub open: Option<Intent>,
    /// The last intent that ended.
    pub last: Option<Settled>,
}

/// The reply to a command about intents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The order is recorded; it may be sent.
    Opened,
    /// The order has already ended.
    Ended {
        /// How it ended.
        ending: Ending,
    },
    /// Another order is open for the target.
    Busy {
        /// The open intent.
        open: Intent,
    },
    /// The fencing token is not that of the data centre's valid lease.
    Stale,
    /// The outcome is recorded.
    Settled,
    /// No order with this id is open for the target.
    NotOpen,
    /// [`MAX_TARGETS`] targets have open orders already.
    Full,
}

/// The intents of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    records: BTreeMap<name::Target, Record>,
}

impl Table {
    /// The records of all targets, by target.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Target, &Record)> {
        self.records.iter()
    }

    /// Opens an intent; the caller has checked the fencing token.
    pub fn open(&mut self, index: u64, open: &Open) -> Reply {
        if !self.records.contains_key(&open.target) && !self.make_room() {
            return Reply::Full;
        }
        let record = self.records.entry(open.target.clone()).or_default();
        if let Some(intent) = &record.open {
            let same = intent.id == open.id;
            return if same { Reply::Opened } else { Reply::Busy { open: intent.clone() } };
        }
        if let Some(last) = record.last.as_ref().filter(|last| last.intent.id == open.id) {
            return Reply::Ended { ending: last.ending };
        }
        record.data_centre = open.data_centre.clone();
        record.open = Some(Intent {
            id: open.id.clone(),
            action: open.action.clone(),
            fencing: open.fencing,
            index,
        });
        Reply::Opened
    }

    /// Settles an intent; the caller has checked the fencing token.
    pub fn settle(&mut self, settle: &Settle) -> Reply {
        let Some(record) = self.records.get_mut(&settle.target) else {
            return Reply::NotOpen;
        };
        if let Some(last) = record.last.as_ref().filter(|last| last.intent.id == settle.id) {
            return Reply::Ended { ending: last.ending };
        }
        match record.open.take_if(|open| open.id == settle.id) {
            Some(intent) => {
                record.last = Some(Settled { intent, ending: settle.ending });
                Reply::Settled
            }
            None => Reply::NotOpen,
        }
    }

    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_TARGETS {
            return true;
        }
        let oldest = self
            .records
            .iter()
            .filter(|(_, record)| record.open.is_none())
            .min_by_key(|(_, record)| record.last.as_ref().map(|last| last.intent.index))
            .map(|(target, _)| target.clone());
        oldest.is_some_and(|target| self.records.remove(&target).is_some())
    }
}
