//! Failure 15: one partner offers ten times its share.

use load::{
    report::Summary,
    run,
    scenario::{Rate, Stream},
};
use standin::harness::tree::{ASSOCIATION, INKLEAF};

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_partner_at_ten_times_its_share_leaves_the_other_its_goodput() {
    let cluster = support::cluster("noisy", &[support::data_centre("suva", 2)]).await;
    for (number, partner) in [ASSOCIATION, INKLEAF].into_iter().cycle().take(4).enumerate() {
        let mut options = cluster.engine(&format!("engine-{number}"), partner, "suva");
        options.slots = 2;
        cluster.start_engine(options).await;
    }
    cluster.until_targets(4).await;
    let quiet = support::completions(ASSOCIATION, 8.0);
    let stream = Stream { first_token_ms: 820, ..quiet };
    let before = run::run(support::scenario(cluster.callers(), 4.0, vec![stream.clone()])).await;
    let noisy = Stream {
        rates: vec![Rate { at_s: 0.0, per_s: 200.0 }],
        ..support::completions(INKLEAF, 0.0)
    };
    let during = run::run(support::scenario(cluster.callers(), 4.0, vec![stream, noisy])).await;
    assert!(before.is_clean(), "{}", before.text());
    assert!(during.is_clean(), "{}", during.text());
    let during_text = during.text();
    let (before, loaded) = (&before.streams[0], &during.streams[0]);
    let loss = goodput(before) - goodput(loaded);
    assert!(
        loss < 0.1,
        "goodput {:.2} before, {:.2} during\n{}",
        goodput(before),
        goodput(loaded),
        during_text
    );
    assert!(
        during.streams[1].not_run > 0,
        "no request of the noisy partner was refused\n{}",
        during.text()
    );
}

/// Share of the requests sent whose responses met the latency targets.
#[allow(clippy::cast_precision_loss, reason = "counts of a test fit a double exactly")]
fn goodput(stream: &Summary) -> f64 {
    stream.in_time as f64 / stream.sent as f64
}
