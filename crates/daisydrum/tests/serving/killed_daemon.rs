//! Failure 1: a daemon is killed under load.

use std::time::Duration;

use load::run;
use standin::harness::tree::ASSOCIATION;
use tokio::time;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_its_own_response_when_a_daemon_is_killed() {
    let mut cluster = support::cluster("killed", &[support::data_centre("suva", 3)]).await;
    for number in 0..3 {
        let options = cluster.engine(&format!("engine-{number}"), ASSOCIATION, "suva");
        cluster.start_engine(options).await;
    }
    cluster.until_targets(3).await;
    let streams = vec![support::completions(ASSOCIATION, 20.0)];
    let load = tokio::spawn(run::run(support::scenario(cluster.callers(), 6.0, streams)));
    time::sleep(Duration::from_secs(2)).await;
    cluster.daemons[0].kill();
    time::sleep(Duration::from_secs(2)).await;
    cluster.daemons[0].restart();
    let report = load.await.unwrap();
    support::assert_served(&report);
    assert!(
        report.streams[0].resent > 0,
        "the kill interrupted no request: none was sent again\n{}",
        report.text()
    );
}
