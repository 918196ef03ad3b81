//! Reports of an entry instance to control instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{
    clock::{self, Moment},
    collections::Map,
};
use fleet::{
    exchange::{Answer, Question},
    usage::Source,
};
use gateway::state::Gateway;
use slog::info;
use tokio::time;
use usage::clock::Clock;

use crate::seeded::{
    context::Context,
    directory::Directory,
    entry::spawn,
    subscription,
    usage::{bounds, control_order, follow_clocks},
};

/// Time between two reports; a process that is killed loses what it counted since the last one.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The same while nothing changes; the holder of the duties waits for reports from after the end of a window.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait until a control instance has kept a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Control instances that keep each report, so that one of them may be lost.
const COPIES: usize = 2;
/// Time for which a control instance that did not keep a report is passed over for others.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// What control instances have kept.
#[derive(Debug)]
pub(crate) struct Reporter {
    context: Context,
    directory: Directory,
    gateway: Arc<Gateway>,
    kept: Map<SocketAddr, Kept>,
    failed: Map<SocketAddr, Moment>,
}

/// Up to which revision a control instance has kept reports, and since when.
#[derive(Clone, Copy, Debug)]
struct Kept {
    revision: u64,
    at: Moment,
}

/// Starts counting and reporting; without a platform API in the settings, nothing is counted.
pub(crate) fn start(context: &Context, directory: &Directory, gateway: &Arc<Gateway>) {
    let Some(settings) = &context.settings.platform_api else {
        return;
    };
    let unix_ms = clock::unix_ms();
    let source = Source { instance: context.identity.instance.clone(), started_unix_ms: unix_ms };
    let clock = Clock::new(Moment::now(), unix_ms);
    gateway.meter.start(source, bounds(settings).window_ms, clock);
    let (own, known, adjusted) = (context.clone(), directory.clone(), Arc::clone(gateway));
    spawn(context, async move {
        follow_clocks(&own, &known, |adjust| adjusted.meter.adjust_clock(adjust)).await;
    });
    spawn(context, Reporter::new(context, directory, gateway).run());
}

/// Reports what was counted until now, since the process stops.
pub(crate) async fn flush(context: &Context, directory: &Directory, gateway: &Arc<Gateway>) {
    if context.settings.platform_api.is_some() {
        Reporter::new(context, directory, gateway).report().await;
    }
}

impl Reporter {
    fn new(context: &Context, directory: &Directory, gateway: &Arc<Gateway>) -> Reporter {
        Reporter {
            context: context.clone(),
            directory: directory.clone(),
            gateway: Arc::clone(gateway),
            kept: Map::default(),
            failed: Map::default(),
        }
    }

    async fn run(mut self) {
        loop {
            time::sleep(REPORT_INTERVAL).await;
            self.report().await;
        }
    }

    /// Reports what has changed to the control instances that don't have it.
    async fn report(&mut self) {
        let now = Moment::now();
        self.failed.retain(|_, failed| now.since(*failed) < AVOID_TIME);
        let mut addresses = control_order(&self.context, &self.directory);
        addresses.sort_by_key(|address| self.failed.contains_key(address));
        addresses.truncate(COPIES);
        self.kept.retain(|address, _| addresses.contains(address));
        let revision = self.gateway.meter.revision();
        let due = addresses.into_iter().filter(|address| {
            let is_kept =
                |kept: &Kept| kept.revision >= revision && now.since(kept.at) < IDLE_INTERVAL;
            !self.kept.get(address).is_some_and(is_kept)
        });
        let calls = due.filter_map(|address| {
            let since = self.kept.get(&address).map_or(0, |kept| kept.revision);
            let (report, revision) = self.gateway.meter.changed_since(since, now)?;
            Some((address, Question::KeepUsage(report), revision))
        });
        let context = &self.context;
        let calls = calls.map(async |(address, question, revision)| {
            let answer = subscription::ask(context, address, &question, REPORT_TIMEOUT).await;
            (address, revision, answer)
        });
        for (address, revision, answer) in futures::future::join_all(calls).await {
            if answer == Some(Answer::Kept) {
                self.kept.insert(address, Kept { revision, at: now });
                self.failed.remove(&address);
                continue;
            }
            self.kept.remove(&address);
            metrics::counter!("daisydrum_usage_reports_not_kept_total").increment(1);
            if self.failed.insert(address, now).is_none() {
                info!(context.log, "usage_not_kept"; "address" => %address);
            }
        }
    }
}
