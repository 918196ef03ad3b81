//! Announcements of an engine, with delayed load reports and delayed, incomplete cache events.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use common::random::Random;
use tokio::time::Instant;
use wire::target;

use super::Shared;
use crate::announce;

/// Maximum number of load samples kept for delayed reports.
const HISTORY: usize = 64;
const PERCENT: usize = 100;
/// Length of the announced lease in announcement intervals: so many may be lost before the target counts as gone.
const LEASE_INTERVALS: u32 = 4;

/// Produces an engine's announcements.
pub(super) struct Source {
    address: SocketAddr,
    shared: Arc<Shared>,
    sequence: u64,
    loads: VecDeque<Sample>,
    late_events: VecDeque<Vec<target::Event>>,
    random: Random,
}

struct Sample {
    at: Instant,
    load: target::Load,
}

impl Source {
    /// Creates the source of an engine that listens on `address`.
    pub(super) fn new(address: SocketAddr, shared: Arc<Shared>) -> Source {
        let random = Random::new(shared.options.announcements.seed);
        Source {
            address,
            shared,
            sequence: 0,
            loads: VecDeque::new(),
            late_events: VecDeque::new(),
            random,
        }
    }

    fn load(&mut self, current: target::Load) -> target::Load {
        let now = Instant::now();
        self.loads.push_back(Sample { at: now, load: current });
        if self.loads.len() > HISTORY {
            self.loads.pop_front();
        }
        let lag = self.shared.options.reports.load_lag;
        let late = self.loads.iter().rev().find(|sample| now - sample.at >= lag);
        late.map_or_else(target::Load::default, |sample| {
            let age = (now - sample.at).as_millis();
            target::Load { age_ms: u64::try_from(age).unwrap_or(u64::MAX), ..sample.load }
        })
    }

    fn events(&mut self, current: Vec<target::Event>) -> Vec<target::Event> {
        let reports = self.shared.options.reports;
        self.late_events.push_back(current);
        let lag = usize::try_from(reports.event_lag).unwrap_or(usize::MAX);
        if self.late_events.len() <= lag {
            return Vec::new();
        }
        let mut events = self.late_events.pop_front().unwrap_or_default();
        let loss = usize::try_from(reports.event_loss_percent).unwrap_or(PERCENT);
        events.retain(|_| self.random.below(PERCENT) >= loss);
        events
    }
}

impl announce::Source for Source {
    fn announcement(&mut self) -> target::Announcement {
        self.sequence += 1;
        let shared = Arc::clone(&self.shared);
        let mut state = shared.lock();
        let options = &shared.options;
        let lease = options.announcements.interval * LEASE_INTERVALS;
        target::Announcement {
            target: options.name.clone(),
            incarnation: shared.incarnation,
            sequence: self.sequence,
            address: options.announced_address.unwrap_or(self.address),
            kind: target::Kind::Engine,
            partner: options.partner.clone(),
            service: options.service.clone(),
            data_centre: options.data_centre.clone(),
            models: state.models.clone(),
            role: state.role,
            fencing: options.fencing,
            cache_pieces: options.cache_pieces,
            slots: options.slots,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            phase: state.phase,
            load: self.load(state.load()),
            cache_events: self.events(state.cache.take_events()),
        }
    }
}
