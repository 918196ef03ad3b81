//! Counts requests of organisations and the demand for services, where usage is reported.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use common::{clock::Moment, name};
use fleet::usage::{Report, Source, Totals};
use usage::{clock::Clock, tally::Tally};

use crate::state::Gateway;

/// Output tokens that are counted together.
const OUTPUT_BATCH: u64 = 16;

/// The counts of this process; empty until it is started, and nothing is counted until then.
#[derive(Debug, Default)]
pub struct Meter(OnceLock<Mutex<State>>);

#[derive(Debug)]
struct State {
    tally: Tally,
    clock: Clock,
}

impl Meter {
    /// Starts counting, in windows of a length in milliseconds.
    pub fn start(&self, source: Source, window_ms: u64, clock: Clock) {
        // A second call has no effect.
        let _started =
            self.0.set(Mutex::new(State { tally: Tally::new(source, window_ms), clock }));
    }

    /// Changes the clock by which requests are counted.
    pub fn adjust_clock(&self, adjust: impl FnOnce(&mut Clock)) {
        if let Some(mut state) = self.lock() {
            adjust(&mut state.clock);
        }
    }

    /// What has changed since a revision, and the revision of the last change; `None` until counting is started.
    pub fn changed_since(&self, revision: u64, now: Moment) -> Option<(Report, u64)> {
        let state = self.lock()?;
        let unix_ms = state.clock.unix_ms(now);
        Some((state.tally.changed_since(revision, unix_ms), state.tally.revision()))
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.lock().map_or(0, |state| state.tally.revision())
    }

    /// Counts a request that a target began at a moment. One without organisation counts for the demand only.
    pub(crate) fn count(
        &self,
        organisation: Option<&name::Organisation>,
        at: Moment,
        service: &name::Service,
        demand: Totals,
    ) {
        let Some(mut state) = self.lock() else {
            return;
        };
        if let Some(organisation) = organisation {
            let unix_ms = state.clock.unix_ms(at);
            state.tally.count(organisation, unix_ms);
            metrics::counter!("daisydrum_usage_requests_total").increment(1);
        }
        state.tally.add_demand(service, demand);
    }

    fn lock(&self) -> Option<MutexGuard<'_, State>> {
        Some(self.0.get()?.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts the output tokens of a run.
#[derive(Debug)]
pub(crate) struct Output {
    gateway: Arc<Gateway>,
    service: name::Service,
    tokens: u64,
}

impl Output {
    /// Begins to count; `None` where nothing is counted.
    pub(crate) fn new(gateway: &Arc<Gateway>, service: &name::Service) -> Option<Output> {
        gateway.meter.0.get()?;
        Some(Output { gateway: Arc::clone(gateway), service: service.clone(), tokens: 0 })
    }

    /// Counts a token.
    pub(crate) fn add(&mut self) {
        self.tokens += 1;
        if self.tokens >= OUTPUT_BATCH {
            self.flush();
        }
    }

    fn flush(&mut self) {
        let output_tokens = std::mem::take(&mut self.tokens);
        if output_tokens > 0
            && let Some(mut state) = self.gateway.meter.lock()
        {
            let added = Totals { output_tokens, ..Totals::default() };
            state.tally.add_demand(&self.service, added);
        }
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        self.flush();
    }
}
