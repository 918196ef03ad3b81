//! Which standings an entry instance reports to the control instances, which keep them for instances that start.
//!
//! Those of quarantined suspects are reported, and later ones of the same suspects, as a success may clear them. The others
//! are many, and nobody waits for them.

use std::net::SocketAddr;

use common::collections::{Map, Set};
use fleet::standing::{Record, Suspect};

use crate::quarantine::{self, request};

/// Suspects whose standings are reported.
const MAX_TRACKED: usize = 1_024;
/// Standings in one call.
const MAX_IN_CALL: usize = 64;

/// Whether a suspect must not be sent, apart from trials.
pub fn is_quarantined(record: &Record) -> bool {
    match record {
        Record::Request(crashes) => crashes.processes.len() >= request::MAX_ENDS,
        Record::Part { suspicion, .. } => suspicion.ends >= quarantine::MAX_ENDS,
    }
}

/// The standings to report, and what each control instance has acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    /// Standings of the suspects that are, or were, quarantined; without their ages.
    tracked: Map<Suspect, Record>,
    acknowledged: Map<SocketAddr, Map<Suspect, Record>>,
}

impl Reporter {
    /// Whether no standing is to be reported unless a suspect is quarantined.
    pub fn is_idle(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Takes note of all standings that the instance has, the quarantined suspects first.
    pub fn observe(&mut self, records: impl IntoIterator<Item = Record>) {
        let mut seen = Set::default();
        for record in records {
            let suspect = record.suspect();
            let is_known = self.tracked.contains_key(&suspect);
            if is_known || (is_quarantined(&record) && self.tracked.len() < MAX_TRACKED) {
                seen.insert(suspect.clone());
                self.tracked.insert(suspect, record.with_age(0));
            }
        }
        self.tracked.retain(|suspect, _| seen.contains(suspect));
    }

    /// The standings that a control instance hasn't acknowledged.
    pub fn due(&self, control: SocketAddr) -> Vec<Suspect> {
        let acknowledged = self.acknowledged.get(&control);
        let is_due = |(suspect, record): &(&Suspect, &Record)| {
            acknowledged.and_then(|known| known.get(*suspect)) != Some(record)
        };
        let due = self.tracked.iter().filter(is_due).map(|(suspect, _)| suspect.clone());
        due.take(MAX_IN_CALL).collect()
    }

    /// Records that a control instance keeps these standings.
    pub fn acknowledge(&mut self, control: SocketAddr, records: Vec<Record>) {
        let known = self.acknowledged.entry(control).or_default();
        known.extend(records.into_iter().map(|record| (record.suspect(), record.with_age(0))));
        known.retain(|suspect, _| self.tracked.contains_key(suspect));
    }

    /// Forgets control instances that are no more, and cleared suspects that all others know to be clear.
    pub fn forget(&mut self, control: &[SocketAddr]) {
        self.acknowledged.retain(|address, _| control.contains(address));
        let acknowledged = &self.acknowledged;
        let is_known = |suspect: &Suspect, record: &Record| {
            let knows = |address: &SocketAddr| {
                acknowledged.get(address).and_then(|known| known.get(suspect)) == Some(record)
            };
            control.iter().all(knows)
        };
        self.tracked.retain(|suspect, record| is_quarantined(record) || !is_known(suspect, record));
    }
}

/// Share of the instances that report in one round, so that few do at any number of instances: they learn the standings
/// of each other, and each reports what the control instances don't have from it.
pub fn share_of_reports(instances: usize) -> f64 {
    const REPORTS_IN_A_ROUND: f64 = 2.0;
    (REPORTS_IN_A_ROUND / instances.max(1) as f64).min(1.0)
}
