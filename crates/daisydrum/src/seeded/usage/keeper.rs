//! What a control instance keeps of the usage that entry instances report, in memory.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use common::{
    clock::{self, Moment},
    name,
};
use fleet::{
    exchange::Answer,
    usage::{Collection, Counts, Report},
};
use usage::{Demand, clock::Clock, ledger::Ledger, schedule::Bounds};

use crate::seeded::{
    context::Context,
    directory::Directory,
    entry::spawn,
    usage::{bounds, follow_clocks},
};

/// The reports that a control instance keeps, and its clock; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Keeper {
    bounds: Bounds,
    ledger: Arc<Mutex<Ledger>>,
    clock: Arc<Mutex<Clock>>,
    /// Whether all control instances are of a build that can apply the commands of duties, as far as is known.
    commands_known: Arc<AtomicBool>,
}

impl Keeper {
    /// Starts to keep reports; `None` without a platform API in the settings.
    pub(crate) fn start(context: &Context, directory: &Directory) -> Option<Keeper> {
        let settings = context.settings.platform_api?;
        let keeper = Keeper {
            bounds: bounds(&settings),
            ledger: Arc::default(),
            clock: Arc::new(Mutex::new(Clock::new(Moment::now(), clock::unix_ms()))),
            commands_known: Arc::default(),
        };
        let (own, known, adjusted) = (context.clone(), directory.clone(), keeper.clone());
        spawn(context, async move {
            let instance = own.identity.instance.clone();
            follow_clocks(&own, &known, |adjust| {
                let mut clock = adjusted.clock.lock().unwrap_or_else(PoisonError::into_inner);
                let now = Moment::now();
                clock.record(&instance, clock::unix_ms(), now, now);
                adjust(&mut clock);
            })
            .await;
        });
        Some(keeper)
    }

    /// Length of windows and the time until a report is due.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Sets whether all control instances can apply the commands of duties.
    pub(crate) fn set_commands_known(&self, known: bool) {
        self.commands_known.store(known, Ordering::Release);
    }

    /// Whether all control instances can apply the commands of duties; a replica of an earlier build can't.
    pub(crate) fn are_commands_known(&self) -> bool {
        self.commands_known.load(Ordering::Acquire)
    }

    /// True time, in milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).unix_ms(Moment::now())
    }

    /// Keeps the report of an entry instance.
    pub(crate) fn keep(&self, report: &Report) -> Answer {
        let window = self.bounds.window(self.unix_ms());
        self.ledger().merge(report, window, Moment::now());
        Answer::Kept
    }

    /// Adds what another control instance keeps of some windows.
    pub(crate) fn merge(&self, collection: &Collection, windows: &[u64]) {
        let current = self.bounds.window(self.unix_ms());
        self.ledger().merge_collection(collection, windows, current, Moment::now());
    }

    /// What it keeps of some windows.
    pub(crate) fn collection(&self, windows: &[u64]) -> Collection {
        self.ledger().collection(windows, Moment::now())
    }

    /// Counts of a window that all entry instances have reported, as far as they are known here.
    pub(crate) fn counts(&self, window: u64) -> Counts {
        self.ledger().counts(window)
    }

    /// Whether all entry instances that are known have reported past the end of a window.
    pub(crate) fn is_complete(&self, window: u64) -> bool {
        self.ledger().is_complete(window, self.bounds.end_ms(window))
    }

    /// Demand for a service over the last seconds, as far as it is known here: at the holder of the duties that of all
    /// entry instances.
    pub(crate) fn demand(&self, service: &name::Service, now: Moment) -> Option<Demand> {
        self.ledger().demand(service, now)
    }

    /// Publishes the demand for each service as metrics.
    pub(crate) fn publish_demand(&self) {
        let (ledger, now) = (self.ledger(), Moment::now());
        for service in ledger.services() {
            let Some(demand) = ledger.demand(&service, now) else {
                continue;
            };
            for (kind, rate) in [
                ("requests", demand.requests_per_s),
                ("prompt_tokens", demand.prompt_tokens_per_s),
                ("output_tokens", demand.output_tokens_per_s),
            ] {
                let service = service.to_string();
                metrics::gauge!("daisydrum_demand_per_second", "service" => service, "kind" => kind)
                    .set(rate);
            }
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
