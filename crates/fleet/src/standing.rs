//! What is held against requests and parts of prompts under which targets ended, as control instances keep it.

use common::name;
use serde::{Deserialize, Serialize};

use crate::exchange::{Crashes, Digest, Suspicion};

/// What is held against one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Against a request.
    Request(Crashes),
    /// Against a part of prompts.
    Part {
        /// The service whose engines ended.
        service: name::Service,
        /// What is held against the part.
        suspicion: Suspicion,
    },
}

/// A request or a part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A request.
    Request(Digest),
    /// A part of prompts of a service.
    Part(name::Service, u64),
}

impl Record {
    /// Against what it is held.
    pub fn suspect(&self) -> Suspect {
        match self {
            Record::Request(crashes) => Suspect::Request(crashes.request),
            Record::Part { service, suspicion } => Suspect::Part(service.clone(), suspicion.part),
        }
    }

    /// Time since an instance first had this standing, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        match self {
            Record::Request(crashes) => crashes.age_ms,
            Record::Part { suspicion, .. } => suspicion.age_ms,
        }
    }

    /// The same standing with another age.
    #[must_use]
    pub fn with_age(mut self, age_ms: u64) -> Record {
        match &mut self {
            Record::Request(crashes) => crashes.age_ms = age_ms,
            Record::Part { suspicion, .. } => suspicion.age_ms = age_ms,
        }
        self
    }
}
