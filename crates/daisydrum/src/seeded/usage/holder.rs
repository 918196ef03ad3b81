//! The holder of the duties: collects the usage of windows that have ended, fixes it in the log and reports it to the
//! platform.

use std::time::Duration;

use common::{
    clock::{self, Moment},
    random::Random,
};
use fleet::{
    exchange::{Answer, Question},
    usage::{Fixed, Window},
};
use platform::duty::{Call, Usage};
use slog::{info, warn};
use tokio::time;
use usage::schedule::{Knowledge, Reporting};

use crate::seeded::{
    context::Context,
    directory::Directory,
    entry::spawn,
    platform_api::{Client, Outcome},
    replicas::Replicas,
    subscription,
    usage::keeper::Keeper,
};

/// Time between two checks for windows that are to be collected or reported.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two collections while no window is to be fixed; they bring the demand.
const COLLECT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for what another control instance keeps.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Control instances that may not answer without a report being missed: each is kept by two.
const MAX_UNANSWERED: usize = 1;

/// Starts the tasks of the holder, which do nothing while this instance isn't it.
pub(crate) fn start(
    context: &Context,
    directory: &Directory,
    replicas: &Replicas,
    keeper: &Keeper,
    client: &Client,
) {
    let collector = Collector {
        context: context.clone(),
        directory: directory.clone(),
        replicas: replicas.clone(),
        keeper: keeper.clone(),
        client: client.clone(),
        start: None,
        collected_at: Moment::default(),
    };
    spawn(context, collector.run());
    let reporter = Reporter {
        context: context.clone(),
        replicas: replicas.clone(),
        keeper: keeper.clone(),
        client: client.clone(),
        reporting: Reporting::default(),
        random: Random::new(clock::unix_ns()),
    };
    spawn(context, reporter.run());
}

/// Collects and fixes the usage of windows.
struct Collector {
    context: Context,
    directory: Directory,
    replicas: Replicas,
    keeper: Keeper,
    client: Client,
    /// The window in which this instance first could be the holder, with which a new fleet begins to report.
    start: Option<u64>,
    collected_at: Moment,
}

/// How many other control instances had nothing to say.
struct Collected {
    /// Those that didn't answer.
    unanswered: usize,
    /// Those of an earlier build, or without the platform's API in their settings.
    refused: usize,
}

impl Collector {
    async fn run(mut self) {
        loop {
            time::sleep(CHECK_INTERVAL).await;
            if self.client.may_hold() {
                self.check().await;
            }
        }
    }

    /// Collects if a window is to be fixed, or the demand is to be renewed.
    async fn check(&mut self) {
        let unix_ms = self.keeper.unix_ms();
        let bounds = self.keeper.bounds();
        let start = *self.start.get_or_insert(bounds.window(unix_ms));
        let fixed = self.replicas.fixed_usage();
        let windows = bounds.to_collect(start, &fixed, unix_ms);
        if windows.is_empty() && Moment::now().since(self.collected_at) < COLLECT_INTERVAL {
            return;
        }
        self.collected_at = Moment::now();
        let Collected { unanswered, refused } = self.collect(&windows).await;
        self.keeper.publish_demand();
        // A replica of an earlier build can't apply the command.
        let is_unknown = refused > 0 || (fixed.first().is_none() && unanswered > MAX_UNANSWERED);
        self.keeper.set_commands_known(!is_unknown);
        if is_unknown {
            return;
        }
        for window in windows {
            let is_complete = unanswered <= MAX_UNANSWERED && self.keeper.is_complete(window);
            let knowledge = if is_complete { Knowledge::Complete } else { Knowledge::Partial };
            // In order, since the first window that is fixed is the first one of the fleet.
            if !bounds.may_fix(window, knowledge, self.keeper.unix_ms())
                || !self.fix(window, knowledge).await
            {
                return;
            }
        }
    }

    /// Asks all other control instances for what they keep.
    async fn collect(&self, windows: &[u64]) -> Collected {
        let question = Question::Usage(windows.to_vec());
        let addresses = self.directory.control_addresses();
        let answers = addresses.into_iter().map(async |address| {
            subscription::ask(&self.context, address, &question, COLLECT_TIMEOUT).await
        });
        let mut collected = Collected { unanswered: 0, refused: 0 };
        for answer in futures::future::join_all(answers).await {
            match answer {
                Some(Answer::Usage(collection)) => self.keeper.merge(&collection, windows),
                Some(Answer::Refused) => collected.refused += 1,
                _ => collected.unanswered += 1,
            }
        }
        collected
    }

    /// Fixes the usage of a window; `false` if that may have failed.
    async fn fix(&self, window: u64, knowledge: Knowledge) -> bool {
        let before = self.replicas.fixed_usage();
        let counts = match self.replicas.fix_usage(window, self.keeper.counts(window)).await {
            Ok(Window::Pending(counts)) => counts,
            Ok(Window::Settled) => return true,
            Err(failure) => {
                warn!(self.context.log, "usage_not_fixed"; "window" => window,
                    "failure" => %failure);
                return false;
            }
        };
        if let Some((oldest, _)) = before.pending().first_key_value()
            && before.pending().len() >= Fixed::MAX_PENDING
        {
            warn!(self.context.log, "usage_given_up"; "window" => oldest);
        }
        let end_ms = self.keeper.bounds().end_ms(window);
        metrics::counter!("daisydrum_usage_windows_fixed_total").increment(1);
        info!(self.context.log, "usage_fixed"; "window" => window,
            "delay_ms" => self.keeper.unix_ms().saturating_sub(end_ms),
            "organisations" => counts.len(), "requests" => counts.values().sum::<u64>(), "knowledge" => ?knowledge);
        true
    }
}

/// Reports windows whose usage is fixed.
struct Reporter {
    context: Context,
    replicas: Replicas,
    keeper: Keeper,
    client: Client,
    reporting: Reporting,
    random: Random,
}

impl Reporter {
    async fn run(mut self) {
        loop {
            time::sleep(CHECK_INTERVAL).await;
            if self.client.may_hold() {
                self.check().await;
            } else {
                metrics::gauge!("daisydrum_usage_windows_pending").set(0.0);
            }
        }
    }

    /// Reports the windows that wait, until one is not accepted.
    async fn check(&mut self) {
        loop {
            let fixed = self.replicas.fixed_usage();
            metrics::gauge!("daisydrum_usage_windows_pending").set(fixed.pending().len() as f64);
            let (unix_ms, now) = (self.keeper.unix_ms(), Moment::now());
            let next = self.reporting.next(&fixed, &self.keeper.bounds(), unix_ms, now);
            let Some((window, counts)) =
                next.and_then(|window| Some((window, fixed.pending().get(&window)?.clone())))
            else {
                return;
            };
            let organisations = counts.len();
            let outcome = self.client.call(Call::Usage(Usage { window, counts })).await;
            let now = Moment::now();
            match outcome {
                Outcome::Accepted => self.record_accepted(window, organisations).await,
                // Another window may still be accepted.
                Outcome::Refused(status) if status.is_client_error() => {
                    warn!(self.context.log, "usage_refused"; "window" => window,
                        "status" => status.as_u16());
                    self.reporting.refused(window, now);
                }
                Outcome::Refused(_) | Outcome::Throttled | Outcome::Unanswered => {
                    self.reporting.failed(self.random.unit(), now);
                    return;
                }
                Outcome::NotHolder => return,
            }
        }
    }

    async fn record_accepted(&mut self, window: u64, organisations: usize) {
        let end_ms = self.keeper.bounds().end_ms(window);
        metrics::counter!("daisydrum_usage_windows_reported_total").increment(1);
        info!(self.context.log, "usage_reported"; "window" => window,
            "delay_ms" => self.keeper.unix_ms().saturating_sub(end_ms),
            "organisations" => organisations);
        match self.replicas.settle_usage(window).await {
            Ok(()) => self.reporting.accepted(window),
            // It is reported again, with the same counts.
            Err(failure) => {
                info!(self.context.log, "usage_not_settled"; "window" => window,
                    "failure" => %failure);
                self.reporting.failed(self.random.unit(), Moment::now());
            }
        }
    }
}
