//! What instances that keep a cell tell the others of its engines; see [`crate::cell`].

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use fleet::{
    config::Retry,
    exchange::{
        Notice, Part,
        load::{Choice, Holding, Inquiry, Load, Loads, Scope},
    },
};

use crate::{
    balancer::{
        Balancer, Entry, Key,
        choice::{Among, Scored, is_crowded, late_by},
        engine::Source,
        selection::{Criteria, Prefill, Suggestion},
    },
    cell::{self, Cell, Division},
    health::Availability,
    precedence::Claimant,
    relay::Peer,
};

/// Time from which a new keeper knows most of what the engines of its cell have cached.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// The same if it has learnt from others what they have cached.
const INFORMED_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Cells that are considered for a prompt before all engines of the service.
pub(super) const MAX_CELLS: usize = 2;

/// A cell that an instance keeps.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    since: Moment,
    /// Whether the instance has learnt from others what the engines had cached before.
    is_informed: bool,
}

/// An inquiry for the load of a cell, and the instances that may answer it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Consultation {
    /// The inquiry.
    pub inquiry: Inquiry,
    /// Keepers of the cell but for this instance, in the order in which they are asked.
    pub keepers: Vec<name::Instance>,
}

/// What became of the inquiries for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// The cells that were asked about.
    asked: Vec<u64>,
    /// Whether one brought no answer.
    is_silent: bool,
    /// What the last one suggests.
    pub suggestion: Option<Suggestion>,
}

impl Answers {
    /// Whether nothing was asked.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }
}

impl Balancer {
    /// Sets the other instances that serve callers, among which the cells' keepers are.
    pub fn set_peers(&mut self, mut peers: Vec<Peer>) {
        let (instance, data_centre) = (self.instance.clone(), self.data_centre.clone());
        peers.push(Peer { instance, data_centre });
        peers.sort_unstable();
        if self.peers != peers {
            self.peers = peers;
            self.cells_outdated = true;
        }
    }

    /// Determines the cells again if targets or instances have changed.
    pub(super) fn refresh_cells(&mut self, now: Moment) {
        if !std::mem::take(&mut self.cells_outdated) {
            return;
        }
        let engines = self.entries.iter().map(|(key, entry)| (key, &entry.target));
        self.cells = Division::new(engines, &self.peers);
        let kept = self.cells.cells().iter().filter(|cell| cell.keepers.contains(&self.instance));
        let new = Kept { since: now, is_informed: false };
        let kept: Map<cell::Id, Kept> =
            kept.map(|cell| (cell.id, self.kept.get(&cell.id).copied().unwrap_or(new))).collect();
        self.kept = kept;
    }

    /// The cells, as this instance knows the fleet.
    pub fn cells(&mut self, now: Moment) -> &Division {
        self.refresh_cells(now);
        &self.cells
    }

    /// The other instances that are notified of what concerns these targets.
    pub fn keepers(&mut self, targets: &[name::Target], now: Moment) -> Vec<name::Instance> {
        self.refresh_cells(now);
        let cells = targets.iter().filter_map(|target| {
            let key = self.names.get(target)?;
            self.cells.of_engine(*key)
        });
        let mut keepers: Vec<name::Instance> = cells
            .flat_map(|cell| &cell.keepers)
            .filter(|keeper| **keeper != self.instance)
            .cloned()
            .collect();
        keepers.sort_unstable();
        keepers.dedup();
        keepers
    }

    /// The other keepers of the cells that this instance keeps without knowing what their engines have cached.
    pub fn fellow_keepers(&mut self, now: Moment) -> Vec<name::Instance> {
        self.refresh_cells(now);
        let mut fellows: Vec<name::Instance> = self
            .uninformed_cells()
            .flat_map(|cell| &cell.keepers)
            .filter(|keeper| **keeper != self.instance)
            .cloned()
            .collect();
        fellows.sort_unstable();
        fellows.dedup();
        fellows
    }

    /// The engines of these cells.
    pub fn uninformed_engines(&mut self, now: Moment) -> Vec<name::Target> {
        self.refresh_cells(now);
        let names = self
            .uninformed_cells()
            .flat_map(|cell| &cell.engines)
            .filter_map(|key| Some(self.entries.get(*key)?.target.name.clone()));
        names.collect()
    }

    fn uninformed_cells(&self) -> impl Iterator<Item = &Cell> {
        let is_uninformed =
            |cell: &&Cell| self.kept.get(&cell.id).is_some_and(|kept| !kept.is_informed);
        self.cells.cells().iter().filter(is_uninformed)
    }

    /// Records that this instance has learnt what the engines of its cells have cached, from another keeper of some of them
    /// or from the engines.
    pub fn set_informed(&mut self, keeper: Option<&name::Instance>, now: Moment) {
        self.refresh_cells(now);
        for (id, kept) in &mut self.kept {
            let cell = self.cells.cell(*id);
            let is_kept = |keeper| cell.is_some_and(|cell| cell.keepers.contains(keeper));
            kept.is_informed |= keeper.is_none_or(is_kept);
        }
    }

    /// What to ask before the target of a request is chosen; `None` if this instance knows enough, or nobody else more.
    pub fn consult(
        &mut self,
        criteria: &Criteria<'_>,
        answers: &Answers,
        now: Moment,
    ) -> Option<Consultation> {
        if criteria.software.is_some()
            || answers.is_silent
            || answers.suggestion.is_some()
            || !self.engines.contains_key(criteria.service)
        {
            return None;
        }
        self.refresh_cells(now);
        let criteria = &self.restrained(criteria, now);
        let order = self.cells.order(criteria.service, criteria.parts);
        let cells: Vec<Cell> = order.into_iter().take(MAX_CELLS).cloned().collect();
        let mut scope = Scope::UnlessCrowded;
        for cell in &cells {
            let is_led = self.leads(cell, now);
            if !is_led && !answers.asked.contains(&cell.id.0) {
                return self.consultation(cell, criteria, scope);
            }
            let scored = self.choose_in(cell, criteria, now);
            if is_led
                && scored.as_ref().is_some_and(|scored| !is_crowded(&scored.plan, criteria, now))
            {
                return None;
            }
            let score = scored.map_or(f64::from(u32::MAX), |scored| scored.score);
            scope = Scope::Below(milliseconds(score));
        }
        // All are crowded. The keeper of the one that is chosen has to know.
        let plan = self.choose_engine(criteria, now)?;
        let chosen = self.cells.of_engine(plan.target)?.clone();
        let is_unknown = answers.asked.len() <= cells.len() && !self.leads(&chosen, now);
        is_unknown.then(|| self.consultation(&chosen, criteria, Scope::Always))?
    }

    /// The best plan among the engines of a cell.
    fn choose_in(&mut self, cell: &Cell, criteria: &Criteria<'_>, now: Moment) -> Option<Scored> {
        let among = Among { keys: &cell.engines, worst: Availability::Probation };
        let source = self.prefix_source(cell.engines.iter(), criteria);
        self.choose_among(among, source, criteria, now)
    }

    fn consultation(
        &mut self,
        cell: &Cell,
        criteria: &Criteria<'_>,
        scope: Scope,
    ) -> Option<Consultation> {
        let own = &self.instance;
        let others = cell.keepers.iter().filter(|keeper| *keeper != own);
        let keepers: Vec<name::Instance> = others.cloned().collect();
        if keepers.is_empty() {
            return None;
        }
        let home = self.cells.order(criteria.service, criteria.parts).into_iter().next();
        let home = home.filter(|home| home.id != cell.id);
        let source = home.and_then(|home| self.prefix_source(home.engines.iter(), criteria));
        let holding = |source: Source| {
            let target = self.entries.get(source.key)?.target.name.clone();
            Some(Holding { target, tokens: u32::try_from(source.tokens).unwrap_or(u32::MAX) })
        };
        let source = source.filter(|source| source.tokens > 0).and_then(holding);
        let avoid = criteria.avoid.iter().filter_map(|key| self.entries.get(*key));
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let inquiry = Inquiry {
            number: self.random.next_u64(),
            cell: cell.id.0,
            parts: criteria.parts.to_vec(),
            output_tokens: u32::try_from(criteria.output_tokens).unwrap_or(u32::MAX),
            target_latency_ms: ms(criteria.target_latency),
            remaining_ms: ms(criteria.remaining),
            may_prefill_apart: criteria.prefill == Prefill::Anywhere,
            avoid: avoid.map(|entry| entry.target.name.clone()).collect(),
            source,
            scope,
        };
        Some(Consultation { inquiry, keepers })
    }

    /// Whether this instance is the first keeper of a cell, which the others ask, and knows the load of its engines.
    fn leads(&self, cell: &Cell, now: Moment) -> bool {
        cell.keepers.first() == Some(&self.instance) && self.is_kept(cell.id, now)
    }

    /// Whether this instance has kept a cell for so long that it knows the load of its engines.
    fn is_kept(&self, cell: cell::Id, now: Moment) -> bool {
        self.kept.get(&cell).is_some_and(|kept| {
            let settle_time = if kept.is_informed { INFORMED_SETTLE_TIME } else { SETTLE_TIME };
            now.since(kept.since) >= settle_time
        })
    }

    /// Answers an inquiry, and counts its request as sent to the engines that are chosen; without engines if this instance
    /// doesn't keep the cell, or only since lately.
    pub fn answer(&mut self, inquiry: &Inquiry, now: Moment) -> Loads {
        self.refresh_cells(now);
        let cell = self.cells.cell(cell::Id(inquiry.cell)).cloned();
        let Some(cell) = cell.filter(|cell| self.is_kept(cell.id, now)) else {
            return Loads { number: inquiry.number, engines: Vec::new(), choice: None };
        };
        let loads = cell.engines.iter().filter_map(|key| {
            let entry = self.entries.get_mut(*key)?;
            Some(load(entry, &inquiry.parts, now))
        });
        let engines = loads.collect();
        let choice = self.choose_for(&cell, inquiry, now);
        Loads { number: inquiry.number, engines, choice }
    }

    /// Chooses engines of a cell for an inquiry and counts its request there.
    fn choose_for(&mut self, cell: &Cell, inquiry: &Inquiry, now: Moment) -> Option<Choice> {
        let duration = |ms: u32| Duration::from_millis(u64::from(ms));
        let avoid: Vec<Key> =
            inquiry.avoid.iter().filter_map(|target| self.names.get(target).copied()).collect();
        let prefill = if inquiry.may_prefill_apart { Prefill::Anywhere } else { Prefill::AtTarget };
        let criteria = Criteria {
            service: &cell.service,
            parts: &inquiry.parts,
            prompt_tokens: inquiry.parts.iter().map(|part| u64::from(part.tokens)).sum(),
            output_tokens: u64::from(inquiry.output_tokens),
            target_latency: duration(inquiry.target_latency_ms),
            remaining: duration(inquiry.remaining_ms),
            software: None,
            avoid: &avoid,
            permitted: None,
            retry: Retry::Never,
            prefill,
            suggestion: None,
            claimant: Claimant::default(),
        };
        let among = Among { keys: &cell.engines, worst: Availability::Probation };
        let own = self.prefix_source(cell.engines.iter(), &criteria);
        let elsewhere = inquiry.source.as_ref().and_then(|holding| {
            Some(Source { key: self.key(&holding.target)?, tokens: u64::from(holding.tokens) })
        });
        let source = own.into_iter().chain(elsewhere).max_by_key(|source| source.tokens);
        let Scored { score, plan } = self.choose_among(among, source, &criteria, now)?;
        let is_chosen = match inquiry.scope {
            Scope::UnlessCrowded => !is_crowded(&plan, &criteria, now),
            Scope::Below(limit_ms) => score < f64::from(limit_ms),
            Scope::Always => true,
        };
        // A request that is refused must not count as sent.
        if !is_chosen || late_by(&plan, &criteria, now).is_some() {
            return None;
        }
        let placement = self.placement(inquiry.number, &plan, &criteria)?;
        self.apply_placement(&placement, now);
        Some(Choice { target: placement.target, prefill: placement.prefill })
    }

    /// Applies the answer to an inquiry; `None` is one that didn't come.
    pub fn observe(
        &mut self,
        inquiry: &Inquiry,
        loads: Option<&Loads>,
        answers: &mut Answers,
        now: Moment,
    ) {
        answers.asked.push(inquiry.cell);
        let Some(loads) = loads.filter(|loads| !loads.engines.is_empty()) else {
            answers.is_silent = true;
            return;
        };
        for load in &loads.engines {
            let key = self.names.get(&load.target);
            let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) else {
                continue;
            };
            entry.backlog.observe(
                f64::from(load.wait_ms),
                f64::from(load.prefill_percent) / 100.0,
                u64::from(load.running),
                now.0 as f64,
            );
            entry.speed.observe(f64::from(load.slowdown_percent) / 100.0);
            let (prefix, computed) = (load.prefix_tokens, load.computed_tokens);
            entry.cache.observe(&inquiry.parts, u64::from(prefix), u64::from(computed));
        }
        answers.suggestion = loads.choice.as_ref().and_then(|choice| {
            let target = self.key(&choice.target)?;
            let prefill = match &choice.prefill {
                Some(prefill) => Some(self.key(prefill)?),
                None => None,
            };
            Some(Suggestion { number: inquiry.number, target, prefill })
        });
    }

    /// The notice that a request is not sent to the engines that a keeper suggests.
    pub fn decline(&self, suggestion: Suggestion) -> Option<Notice> {
        let target = self.entries.get(suggestion.target)?.target.name.clone();
        Some(Notice::Declined { number: suggestion.number, target })
    }
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "saturates")]
fn load(entry: &mut Entry, parts: &[Part], now: Moment) -> Load {
    let now_ms = now.0 as f64;
    let saturated = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    Load {
        target: entry.target.name.clone(),
        wait_ms: milliseconds(entry.backlog.wait_ms(now_ms)),
        slowdown_percent: (entry.speed.slowdown() * 100.0) as u32,
        prefill_percent: (entry.backlog.prefill_share(now_ms) * 100.0) as u32,
        running: saturated(entry.backlog.running(now_ms)),
        prefix_tokens: saturated(entry.cache.prefix_tokens(parts)),
        computed_tokens: saturated(entry.cache.computed_prefix_tokens(parts)),
    }
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "saturates")]
fn milliseconds(ms: f64) -> u32 {
    ms as u32
}
