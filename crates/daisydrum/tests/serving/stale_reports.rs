//! Failure 13: load reports are 5 s old, and an engine that looks idle is full.

use std::time::Duration;

use load::run;
use standin::harness::tree::ASSOCIATION;

use crate::support;

const ENGINES: u64 = 6;

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_looks_idle_but_is_full_gets_at_most_twice_its_share() {
    let cluster = support::cluster("stale", &[support::data_centre("suva", 2)]).await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let mut options = cluster.engine(&format!("engine-{number}"), ASSOCIATION, "suva");
        options.reports.load_lag = Duration::from_secs(5);
        if number == 0 {
            // Refuses every call while it reports free slots.
            options.rejects_all_as_full = true;
        }
        engines.push(cluster.start_engine(options).await);
    }
    cluster.until_targets(engines.len()).await;
    let streams = vec![support::completions(ASSOCIATION, 30.0)];
    let report = run::run(support::scenario(cluster.callers(), 6.0, streams)).await;
    support::assert_served(&report);
    let stream = &report.streams[0];
    assert_eq!(stream.whole, stream.sent, "{}", report.text());
    let refused = engines[0].totals().refused;
    assert!(refused > 0, "the full engine was never tried");
    assert!(
        refused * ENGINES <= stream.sent * 2,
        "the full engine got {refused} of {} requests",
        stream.sent
    );
}
