//! Ends of the bodies of responses to callers.

use bytes::Bytes;
use entry::body::{Body, Sender, Truncated};
use http_body_util::BodyExt;
use tokio::task;

/// Sends a part from a task, then lets `end` end the body; returns what the caller receives.
async fn receive(end: fn(Sender)) -> Result<Bytes, Truncated> {
    let (sender, body) = Body::stream(1);
    let task = task::spawn(async move {
        sender.send(Bytes::from_static(b"part")).await.expect("the body is read");
        end(sender);
    });
    let received = body.collect().await.map(|body| body.to_bytes());
    // The task of one case panics.
    let _ended = task.await;
    received
}

#[tokio::test]
async fn a_body_is_complete_only_if_its_sender_says_so() {
    assert_eq!(receive(Sender::finish).await, Ok(Bytes::from_static(b"part")));
}

#[tokio::test]
async fn a_body_whose_sender_is_dropped_is_truncated() {
    assert_eq!(receive(drop).await, Err(Truncated));
}

#[tokio::test]
async fn a_body_whose_task_panics_is_truncated() {
    assert_eq!(receive(|_sender| panic!("a fault")).await, Err(Truncated));
}
