//! Accepted settings in real daemons: they come into force on all instances and stay consistent through restarts,
//! concurrent changes, partitions and a dissolution.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use crate::venture::{BRANCHES, KEY, Venture};
use daisyctl::error;
use hyper::StatusCode;
use standin::{harness::wait, proxy::Flow};

const PORTAL: &str = "association/services/member-portal.jsonc";
/// Number of the instance that has no data folder.
const DISKLESS: usize = 3;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_settings_reach_all_instances_and_survive_restarts() {
    let mut venture = Venture::start("settings-restart").await;
    let tree = venture.tree("tree");
    venture.apply(0, &tree).await;
    for number in 0..venture.daemons.len() {
        venture.daemons[number].until_ready().await;
        assert_eq!(venture.call(number, KEY).await, Some(StatusCode::OK), "instance {number}");
    }
    let first = venture.accepted(0, "association").await.version;
    venture.apply(1, &tree).await;
    assert_eq!(
        venture.accepted(0, "association").await.version,
        first,
        "the same tree keeps the version"
    );

    venture.daemons[DISKLESS].kill();
    for deadline in 30_001..30_011 {
        tree.edit(PORTAL, &(deadline - 1).to_string(), &deadline.to_string());
        venture.apply(deadline as usize % 3, &tree).await;
    }
    let last = venture.accepted(0, "association").await.version;
    assert_eq!(last, first + 10);
    venture.daemons[DISKLESS].restart();
    venture.daemons[DISKLESS].until_ready().await;
    let in_force = venture.in_force(0, DISKLESS, "association").await;
    assert!(
        in_force >= Some(last),
        "the instance became ready with version {in_force:?}; accepted was {last}"
    );

    // An instance with a data folder that restarts alone serves the settings that were in force before.
    for daemon in &mut venture.daemons {
        daemon.kill();
    }
    venture.daemons[0].restart();
    venture.daemons[0].until_ready().await;
    assert_eq!(venture.in_force(0, 0, "association").await, Some(last));
    wait::until("the instance serves callers again", async || {
        venture.call(0, KEY).await == Some(StatusCode::OK)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_concurrent_changes_one_is_accepted_and_resends_repeat_the_results() {
    let venture = Venture::start("settings-race").await;
    venture.apply(0, &venture.tree("base")).await;
    let base = venture.accepted(0, "association").await.version;
    let base_text = base.to_string();
    let (first_tree, second_tree) = (venture.tree("one"), venture.tree("other"));
    first_tree.edit(PORTAL, "30000", "31000");
    second_tree.edit(PORTAL, "30000", "32000");
    let folders = [&first_tree, &second_tree].map(|tree| tree.0.to_string_lossy().into_owned());
    let arguments = |which: usize| {
        let id = ["request-one", "request-other"][which];
        vec![
            "apply",
            folders[which].as_str(),
            "--branch",
            "association",
            "--base",
            base_text.as_str(),
            "--request-id",
            id,
        ]
    };
    let (first, second) = (arguments(0), arguments(1));
    let (first, second) =
        tokio::join!(venture.run_daisyctl(0, &first), venture.run_daisyctl(1, &second));
    assert!(first.is_ok() != second.is_ok(), "{first:?} {second:?}");
    let accepted = venture.accepted(2, "association").await;
    assert_eq!(accepted.version, base + 1);
    for (which, result) in [(0, &first), (1, &second)] {
        let again = venture.run_daisyctl(2, &arguments(which)).await;
        assert_eq!(format!("{again:?}"), format!("{result:?}"));
    }
    assert_eq!(venture.accepted(2, "association").await, accepted);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_that_is_cut_off_keeps_serving_and_accepts_no_changes() {
    let venture = Venture::start("settings-partition").await;
    let tree = venture.tree("tree");
    venture.apply(0, &tree).await;
    for daemon in &venture.daemons {
        daemon.until_ready().await;
    }
    let base = venture.accepted(0, "association").await.version;
    venture.set_flow(2, Flow::Hold);
    let rejected_tree = venture.tree("lost");
    rejected_tree.edit(PORTAL, "30000", "39000");
    let folder = rejected_tree.0.to_string_lossy().into_owned();
    let refused = venture.run_daisyctl(2, &["apply", &folder]).await;
    assert!(
        matches!(refused, Err(error::Error::Refused { .. } | error::Error::OutcomeUnknown { .. })),
        "{refused:?}"
    );
    assert_eq!(venture.call(2, KEY).await, Some(StatusCode::OK));
    tree.edit(PORTAL, "30000", "31000");
    let folder = tree.0.to_string_lossy().into_owned();
    wait::until("the majority accepts", async || {
        venture.run_daisyctl(0, &["apply", &folder]).await.is_ok()
    })
    .await;
    let accepted = venture.accepted(0, "association").await;
    assert_eq!(accepted.version, base + 1);
    assert_eq!(
        venture.call(2, KEY).await,
        Some(StatusCode::OK),
        "the instance that is cut off doesn't serve callers"
    );

    venture.set_flow(2, Flow::Pass);
    for number in 0..venture.daemons.len() {
        wait::until("the accepted version is in force", async || {
            venture.in_force(0, number, "association").await == Some(base + 1)
        })
        .await;
    }
    assert_eq!(venture.accepted(2, "association").await, accepted);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_call_fails_during_a_dissolution() {
    let venture = Arc::new(Venture::start("settings-dissolve").await);
    let tree = venture.tree("tree");
    venture.apply(0, &tree).await;
    for daemon in &venture.daemons {
        daemon.until_ready().await;
    }
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let load = tokio::spawn({
        let (venture, stop, calls) = (Arc::clone(&venture), Arc::clone(&stop), Arc::clone(&calls));
        async move {
            while !stop.load(Ordering::Relaxed) {
                let number = usize::try_from(calls.fetch_add(1, Ordering::Relaxed)).unwrap();
                let status = venture.call(number % venture.daemons.len(), KEY).await;
                assert_eq!(status, Some(StatusCode::OK), "call {number}");
            }
        }
    });
    let before = venture.accepted(0, "inkleaf").await;
    venture.run_daisyctl(1, &["dissolve", "--plan", "end", "--execute"]).await.unwrap();
    let under_load = calls.load(Ordering::Relaxed);
    assert!(under_load > 0);
    wait::until("callers are served after the dissolution", async || {
        calls.load(Ordering::Relaxed) > under_load + 20
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    load.await.unwrap();

    venture
        .until_summaries(0, |summaries| {
            let phase = |branch: &str| {
                let entry = summaries.iter().find(|entry| entry.branch.0 == branch)?;
                Some(entry.summary.as_ref()?.phase.to_string())
            };
            let phases: Vec<Option<String>> = BRANCHES.iter().map(|name| phase(name)).collect();
            let expected = ["closed by end", "detached by end", "detached by end"];
            phases == expected.map(|phase| Some(String::from(phase)))
        })
        .await;
    let after = venture.accepted(0, "inkleaf").await;
    assert_eq!(after.version, before.version + 1);
    assert!(after.content.venture.defaults.is_empty());
    assert!(!before.content.venture.defaults.is_empty());

    // The venture's branch accepts no more changes; that of a detached partner does.
    let folder = tree.0.to_string_lossy().into_owned();
    tree.edit("venture.jsonc", "120000", "110000");
    let refused = venture.run_daisyctl(0, &["apply", &folder, "--branch", "venture"]).await;
    assert!(matches!(refused, Err(error::Error::Refused { .. })), "{refused:?}");
    let again = venture.run_daisyctl(2, &["dissolve", "--plan", "end", "--execute"]).await;
    assert!(again.is_ok(), "{again:?}");
    tree.edit(PORTAL, "30000", "31000");
    venture
        .run_daisyctl(0, &["apply", &folder, "--branch", "association", "--wait"])
        .await
        .unwrap();
}
