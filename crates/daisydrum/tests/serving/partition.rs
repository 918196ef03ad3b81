//! Failure 3: a data centre is cut off in both directions or in one, and keeps serving its own callers.

use load::run;
use standin::{
    harness::tree::ASSOCIATION,
    proxy::{Conditions, Flow},
};

use crate::support;

const CUT: Conditions = Conditions {
    latency: std::time::Duration::ZERO,
    upstream: Flow::Hold,
    downstream: Flow::Hold,
    refuses: false,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_cut_off_keeps_serving() {
    assert_keeps_serving(CUT, CUT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_cut_off_in_one_direction_keeps_serving() {
    let one_way = Conditions { downstream: Flow::Pass, ..CUT };
    assert_keeps_serving(one_way, Conditions { upstream: Flow::Pass, ..CUT }).await;
}

/// Asserts that both data centres serve their callers during the partition and after it.
async fn assert_keeps_serving(into: Conditions, out_of: Conditions) {
    let data_centres = [support::data_centre("suva", 2), support::data_centre("lautoka", 2)];
    let cluster = support::cluster("partition", &data_centres).await;
    for data_centre in data_centres {
        let name = format!("engine-{}", data_centre.name);
        let options = cluster.engine(&name, ASSOCIATION, data_centre.name);
        cluster.start_engine(options).await;
    }
    cluster.until_targets(1).await;
    cluster.set("lautoka", into, out_of);
    let callers = cluster.callers();
    let streams = || vec![support::completions(ASSOCIATION, 8.0)];
    let (suva, lautoka) = tokio::join!(
        run::run(support::scenario(callers[..2].to_vec(), 5.0, streams())),
        run::run(support::scenario(callers[2..].to_vec(), 5.0, streams())),
    );
    support::assert_served(&suva);
    support::assert_served(&lautoka);
    cluster.set("lautoka", Conditions::default(), Conditions::default());
    let healed = run::run(support::scenario(callers, 2.0, streams())).await;
    support::assert_served(&healed);
}
