//! The right to act for the whole fleet towards the outside, shared by the orders to engines and the duties at the
//! platform's API.
//!
//! The leader of the register's log claims it; the index of the claim in the log is the fencing token. A process has one
//! claim for all its uses, so that they agree on who the previous holder was.

use std::{sync::Arc, time::Duration};

use common::clock::Moment;
use fleet::tenure::{self, Tenure};
use slog::info;
use tokio::sync::Mutex;
use wire::{log::Error, socket};

use crate::seeded::{
    context::Context,
    directory::{Contact, Directory},
    replicas::Replicas,
};

/// Time for which a claim entitles its holder to act, counted from before the claim was sent.
const CLAIM_VALIDITY: Duration = Duration::from_millis(1_000);
/// Margin for differences between clocks and for calls that wait in a connection's buffer until it is closed.
pub(crate) const HANDOVER_MARGIN: Duration = Duration::from_millis(2_500);
/// Time after the claim of a new holder until no call of the previous one can arrive any more.
pub(crate) const HANDOVER_WAIT: Duration =
    Duration::from_millis((CLAIM_VALIDITY.as_millis() + HANDOVER_MARGIN.as_millis()) as u64);
const _: () = assert!(socket::ORDER_USER_TIMEOUT.as_millis() < HANDOVER_MARGIN.as_millis());

/// The claim of this process; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Authority {
    context: Context,
    directory: Directory,
    replicas: Replicas,
    tenure: Arc<Mutex<Tenure>>,
}

/// The right to act, valid until `until`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    /// Fencing token; each later permit has a higher one.
    pub(crate) fence: u64,
    /// To be checked immediately before each call is sent, since the process may have been suspended.
    pub(crate) until: Moment,
}

impl Authority {
    pub(crate) fn new(context: &Context, directory: &Directory, replicas: &Replicas) -> Authority {
        Authority {
            context: context.clone(),
            directory: directory.clone(),
            replicas: replicas.clone(),
            tenure: Arc::default(),
        }
    }

    /// Whether this instance leads the register's log and may claim the right.
    pub(crate) fn may_claim(&self) -> bool {
        self.replicas.is_leader() && self.directory.contact() != Contact::Lost
    }

    /// Claims the right, or renews it. Returns a permit once `wait` has passed since this instance took the right over
    /// from another one.
    pub(crate) async fn acquire(&self, wait: Duration) -> Option<Permit> {
        let mut tenure = self.tenure.lock().await;
        if !self.may_claim() || !tenure.has_waited(wait, Moment::now()) {
            return None;
        }
        let term = self.replicas.leading_term()?;
        let claimed_at = Moment::now();
        let grant = match self.replicas.claim().await {
            Ok(grant) => grant,
            Err(Error::NotAccepted { .. }) => return None,
            Err(Error::Unknown { .. }) => {
                tenure.record_no_reply(term);
                return None;
            }
        };
        let now = Moment::now();
        if tenure.record_grant(&grant, term, now) == tenure::Kind::New {
            info!(self.context.log, "authority_claimed"; "fence" => grant.fence,
                "previous" => grant.previous.map_or_else(String::new, |previous| previous.0));
        }
        let permit = Permit { fence: grant.fence, until: claimed_at + CLAIM_VALIDITY };
        tenure.has_waited(wait, now).then_some(permit)
    }
}
