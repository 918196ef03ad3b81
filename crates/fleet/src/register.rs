//! The replicated register: the newest configuration as the operator sent it, and who may give orders.

use common::name;
use serde::{Deserialize, Serialize};

/// A configuration as an operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Offers a configuration.
    Offer(Document),
    /// Claims the right to give orders for an instance.
    Claim(name::Instance),
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The version that is held after an offer.
    Held(u64),
    /// The right to give orders.
    Granted(Grant),
}

/// The right to give orders, for a short time that its holder counts from before it claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Fencing number; that of each later grant is higher.
    pub fence: u64,
    /// Who held the right before, if that was another instance.
    pub previous: Option<name::Instance>,
}

/// The state that the log builds up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    newest: Option<Document>,
    holder: Option<name::Instance>,
}

impl Register {
    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::Offer(document) => Reply::Held(self.offer(document)),
            Command::Claim(instance) => {
                let before = self.holder.replace(instance.clone());
                let previous = before.filter(|holder| holder != instance);
                Reply::Granted(Grant { fence: index, previous })
            }
        }
    }

    /// The newest configuration.
    pub fn newest(&self) -> Option<&Document> {
        self.newest.as_ref()
    }

    /// Keeps a configuration unless one of the same or a higher version is held; returns the version held then.
    fn offer(&mut self, document: &Document) -> u64 {
        match &self.newest {
            Some(held) if held.version >= document.version => held.version,
            Some(_) | None => {
                self.newest = Some(document.clone());
                document.version
            }
        }
    }
}
