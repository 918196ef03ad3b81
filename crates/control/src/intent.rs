//! Orders recorded before they are sent, one open for each target.

use std::collections::BTreeMap;

use common::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Targets whose last outcome is kept; one without an open intent is dropped first.
pub const MAX_TARGETS: usize = 20_000;

/// Records an order before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The data centre of the target.
    pub data_centre: name::DataCentre,
    /// The sender's fencing number.
    pub fencing: u64,
    /// The target.
    pub target: name::Target,
    /// Identifies the order; a resend of the same id is answered with its state.
    pub id: String,
    /// The order's action as JSON text, as it is sent to the target.
    pub action: String,
}

/// Records the outcome of an order, by its sender or by a successor that asked the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The data centre of the target.
    pub data_centre: name::DataCentre,
    /// The fencing number of who settles.
    pub fencing: u64,
    /// The target.
    pub target: name::Target,
    /// The order.
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
    /// The target is gone for good, and the order with it.
    Gone,
}

/// An open order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order.
    pub id: String,
    /// The order's action as JSON text.
    pub action: String,
    /// The fencing number it was opened under.
    pub fencing: u64,
    /// Index in the log.
    pub index: u64,
}

/// The last order that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The order.
    pub intent: Intent,
    /// How it ended.
    pub ending: Ending,
}

/// What is known of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// The open order.
    pub open: Option<Intent>,
    /// The last order that ended.
    pub last: Option<Settled>,
}

/// The answer to a command on intents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The order is recorded; it may be sent.
    Opened,
    /// The order has ended before.
    Ended {
        /// How it ended.
        ending: Ending,
    },
    /// Another order is open for the target.
    Busy {
        /// The open order.
        open: Intent,
    },
    /// The fencing number is not that of the data centre's lease.
    Stale,
    /// The outcome is recorded.
    Settled,
    /// No such order is open.
    NotOpen,
    /// As many targets have open orders as can be kept.
    Full,
}

/// The intents of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    records: BTreeMap<name::Target, Record>,
}

impl Table {
    /// What is known of each target.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Target, &Record)> {
        self.records.iter()
    }

    /// Records an order whose fencing number was found valid.
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

    /// Records the outcome of an order; the fencing number was found valid.
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
