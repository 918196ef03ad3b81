//! Whether callers of instances that are cut off from targets are served as those of the others.

use std::time::Duration;

use crate::{
    checker::{Invariant, Violation},
    history::{Disturbance, History, Kind, Request},
    plan::{Fault, Services, Victim},
};

/// Time after the beginning of a cut from which callers are served: the operators' bound.
const CONTACT: Duration = Duration::from_secs(3);
/// Least share of the requests that are served at cut-off instances, in that of the others.
const MIN_SHARE: f64 = 2.0 / 3.0;
/// Failed requests at cut-off instances that are allowed, with one more for each so many requests at all instances.
const MAX_FAILED: usize = 10;
const REQUESTS_PER_FAILED: usize = 50;

/// A time in which some instances were cut off, without its beginning.
#[derive(Clone, Debug, PartialEq)]
struct Cut {
    from: Duration,
    until: Duration,
    services: Services,
    entries: Vec<usize>,
}

/// Checks the requests sent during each cut.
pub fn check(history: &History) -> Vec<Violation> {
    cuts(history).iter().filter_map(|cut| violation(history, cut)).collect()
}

/// The cuts; instances that were cut off together are in one of them.
fn cuts(history: &History) -> Vec<Cut> {
    let mut cuts: Vec<Cut> = Vec::new();
    for disturbance in &history.disturbances {
        let (Victim::Entry(entry), Fault::CutOff(_, services)) =
            (disturbance.victim, disturbance.fault)
        else {
            continue;
        };
        let (from, until) = (disturbance.from + CONTACT, disturbance.until);
        let together = cuts.iter_mut().find(|cut| from < cut.until);
        match together {
            Some(cut) => {
                (cut.from, cut.until) = (cut.from.max(from), cut.until.min(until));
                cut.entries.push(entry);
            }
            None => cuts.push(Cut { from, until, services, entries: vec![entry] }),
        }
    }
    cuts
}

fn violation(history: &History, cut: &Cut) -> Option<Violation> {
    let counted = history.requests.iter().filter(|request| {
        (cut.from..cut.until).contains(&request.sent)
            && cut.services.include(services(request.kind))
            && is_calm(history, request)
    });
    let (cut_off, others): (Vec<&Request>, Vec<&Request>) =
        counted.partition(|request| cut.entries.contains(&request.entry));
    let served =
        |requests: &[&Request]| requests.iter().filter(|request| is_served(request)).count();
    let (cut_served, others_served) = (served(&cut_off), served(&others));
    let allowed = MAX_FAILED + (cut_off.len() + others.len()) / REQUESTS_PER_FAILED;
    let least = MIN_SHARE * others_served as f64 / others.len().max(1) as f64;
    if cut_off.len() - cut_served <= allowed || cut_served as f64 >= least * cut_off.len() as f64 {
        return None;
    }
    let detail = format!(
        "{cut:?} served {cut_served} of {} requests, the others {others_served} of {}",
        cut_off.len(),
        others.len()
    );
    Some(Violation { invariant: Invariant::CutOff, detail })
}

fn services(kind: Kind) -> Services {
    if kind.is_stream() { Services::Engines } else { Services::Plain }
}

fn is_served(request: &Request) -> bool {
    request.response.status == Some(200) && request.response.whole
}

/// Whether the instance had no other fault for a while before the request and during it.
fn is_calm(history: &History, request: &Request) -> bool {
    let is_other = |other: &&Disturbance| {
        other.victim == Victim::Entry(request.entry) && !matches!(other.fault, Fault::CutOff(..))
    };
    let mut others = history.disturbances.iter().filter(is_other);
    !others.any(|other| other.overlaps(request.sent.saturating_sub(CONTACT), request.ended))
}
