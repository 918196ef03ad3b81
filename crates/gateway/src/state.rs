//! What all requests of an instance share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use fleet::{config::Config, exchange, registry::Target};
use placement::{balancer::Balancer, retry};
use slog::Logger;
use tokio::sync::{mpsc, watch};

use crate::pool::Pool;

/// Notices that wait to be told to the other instances; what finds the queue full is not told.
pub const MAX_QUEUED_NOTICES: usize = 256;

/// What an instance is made with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// How often the fleet may be asked again.
    pub retries: retry::Bounds,
    /// Seed of random choices.
    pub seed: u64,
}

/// What all requests of an instance share.
#[derive(Debug)]
pub struct Gateway {
    /// The instance.
    pub instance: name::Instance,
    /// Connections to targets.
    pub pool: Pool,
    /// Takes log lines.
    pub log: Logger,
    config: watch::Sender<Option<Arc<Config>>>,
    /// Since when the configuration is in force.
    adopted: Mutex<Moment>,
    balancer: Mutex<Balancer>,
    budgets: Mutex<Map<name::Service, retry::Budget>>,
    retries: retry::Bounds,
    instances: AtomicUsize,
    holdings_known: AtomicBool,
    told: mpsc::Sender<exchange::Notice>,
}

impl Gateway {
    /// Makes the state; the receiver gets the notices that other instances should know of.
    pub fn new(options: Options, log: Logger) -> (Arc<Gateway>, mpsc::Receiver<exchange::Notice>) {
        let (told, notices) = mpsc::channel(MAX_QUEUED_NOTICES);
        let gateway = Gateway {
            instance: options.instance,
            pool: Pool::default(),
            log,
            config: watch::Sender::new(None),
            adopted: Mutex::default(),
            balancer: Mutex::new(Balancer::new(options.data_centre, options.seed)),
            budgets: Mutex::default(),
            retries: options.retries,
            instances: AtomicUsize::new(1),
            holdings_known: AtomicBool::new(false),
            told,
        };
        (Arc::new(gateway), notices)
    }

    /// The configuration in force; nothing before one is known.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Version in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Puts a configuration in force unless the one in force is as new; returns whether it did.
    pub fn install_config(&self, config: Config) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        self.balancer().configure(&config);
        self.config.send_replace(Some(Arc::new(config)));
        *self.adopted.lock().unwrap_or_else(PoisonError::into_inner) = Moment::now();
        true
    }

    /// Version in force and for how long it is; nothing before one is known.
    pub(crate) fn config_age(&self) -> Option<(u64, Duration)> {
        let version = self.config.borrow().as_ref()?.version;
        let adopted = *self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        Some((version, Moment::now().since(adopted)))
    }

    /// Repeats that are left to this instance, by service.
    pub(crate) fn repeats_left(&self, now: Moment) -> Vec<(name::Service, f64)> {
        let instances = self.instances.load(Ordering::Relaxed);
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let left = |(service, budget): (&name::Service, &mut retry::Budget)| {
            (service.clone(), budget.left(&self.retries, instances, now))
        };
        budgets.iter_mut().map(left).collect()
    }

    /// Takes in what is known of a target.
    pub fn update_target(&self, target: &Target) {
        self.balancer().update(target);
    }

    /// Takes in which engines change what they do and take no new work until then.
    pub fn set_changing(&self, targets: &[name::Target]) {
        self.balancer().set_changing(targets);
    }

    /// Takes in how many instances share the fleet.
    pub fn set_instance_count(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
    }

    /// Takes in a notice of another instance.
    pub fn handle_notice(&self, notice: &exchange::Notice) {
        if let exchange::Notice::Unreached { target } = notice {
            let address = self.balancer().address(target);
            if let Some(address) = address {
                self.pool.mark_suspect(address);
            }
            return;
        }
        self.balancer().apply_notice(notice, Moment::now());
    }

    /// Whether the balancer knows what the engines hold.
    pub fn are_holdings_known(&self) -> bool {
        self.holdings_known.load(Ordering::Acquire)
    }

    /// Notes that the balancer knows what the engines hold.
    pub fn set_holdings_known(&self) {
        self.holdings_known.store(true, Ordering::Release);
    }

    /// The targets with what is believed of them.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that is sent to a service for the first time.
    pub(crate) fn count_request(&self, service: &name::Service) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone()).or_default();
        budget.count(&self.retries, Moment::now());
    }

    /// Takes one repeat out of a service's budget; `false` if none is left.
    pub(crate) fn take_repeat(&self, service: &name::Service) -> bool {
        let instances = self.instances.load(Ordering::Relaxed);
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone()).or_default();
        let taken = budget.take(&self.retries, instances, Moment::now());
        if !taken {
            metrics::counter!("daisydrum_repeats_denied_total").increment(1);
        }
        taken
    }

    /// Tells the other instances; what finds the queue full is dropped.
    pub(crate) fn tell(&self, notices: impl IntoIterator<Item = exchange::Notice>) {
        for notice in notices {
            if self.told.try_send(notice).is_err() {
                metrics::counter!("daisydrum_notices_untold_total").increment(1);
            }
        }
    }
}

/// Milliseconds of a time, for log lines.
pub(crate) fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
