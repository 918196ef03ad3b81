//! Claims of the runs of one request that are live beside each other.

use std::{sync::Arc, time::Duration};

use gateway::progress::Shared;
use tokio::{task, time};

/// Time in which a claim that is possible is made.
const LIMIT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn of_several_runs_of_a_request_that_may_run_once_one_is_claimed() {
    let shared = Arc::new(Shared::default());
    let first = shared.claim(1).await.expect("nothing is claimed yet");
    let waiting = Arc::clone(&shared);
    let second = task::spawn(async move { waiting.claim(1).await.is_some() });
    task::yield_now().await;
    assert!(!second.is_finished(), "the first run may turn out not to have run");
    drop(first);
    assert!(!time::timeout(LIMIT, second).await.unwrap().unwrap(), "two runs were claimed");
    assert!(shared.claim(1).await.is_none());
}

#[tokio::test]
async fn a_claim_whose_target_did_not_run_the_request_goes_to_the_run_that_waits() {
    let shared = Arc::new(Shared::default());
    let first = shared.claim(1).await.expect("nothing is claimed yet");
    let waiting = Arc::clone(&shared);
    let second = task::spawn(async move { waiting.claim(1).await.is_some() });
    task::yield_now().await;
    first.withdraw();
    assert!(time::timeout(LIMIT, second).await.unwrap().unwrap());
    assert!(shared.lock().may_have_run());
}

#[tokio::test]
async fn a_request_that_was_refused_is_sent_to_no_target_any_more() {
    let shared = Shared::default();
    assert!(shared.lock().close());
    assert!(shared.claim(2).await.is_none());
}

#[tokio::test]
async fn a_request_that_a_target_may_run_is_not_refused() {
    let shared = Shared::default();
    let claim = shared.claim(2).await;
    assert!(!shared.lock().close());
    drop(claim);
    assert!(!shared.lock().close());
    assert!(shared.claim(2).await.is_some());
}
