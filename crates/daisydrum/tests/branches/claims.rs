//! Calls that may not be repeated, through real daemons: resends to other instances, lost responses, a lost quorum.

use std::{net::SocketAddr, time::Duration};

use crate::venture::Venture;
use bytes::Bytes;
use common::cancel;
use http_body_util::Full;
use hyper::Request;
use standin::{
    announce, http,
    plain::{Behaviour, Options, Service},
};

/// Key of `member-portal` in the sample tree.
const KEY: &str = "portal-example-key";
const TIMEOUT: Duration = Duration::from_secs(30);

async fn start(name: &str, behaviour: Behaviour) -> (Venture, Service, cancel::Token) {
    let venture = Venture::start(name).await;
    venture.apply(0, &venture.tree("tree")).await;
    for daemon in &venture.daemons {
        daemon.until_ready().await;
    }
    let options = Options {
        name: "portal-1".into(),
        partner: "association".into(),
        service: "member-portal".into(),
        data_centre: "suva".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        announced_address: None,
        announcements: announce::Schedule {
            control: vec![venture.daemons[0].control()],
            interval: Duration::from_millis(200),
            seed: 1,
        },
        delay: Duration::from_millis(20),
        behaviour,
        pauses: Vec::new(),
    };
    let token = cancel::Token::new();
    let plain = Service::start(options, token.clone()).await.unwrap();
    venture.daemons[0].until_targets(1).await;
    (venture, plain, token)
}

/// Posts a certificate to one of the daemons and returns the response's status, outcome and body.
async fn lodge(
    venture: &Venture,
    number: usize,
    key: Option<&str>,
    body: &str,
) -> (u16, String, Bytes) {
    let mut request =
        Request::post("/certificates").header("authorization", format!("Bearer {KEY}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::from(body.to_owned())).unwrap();
    let response = http::call(venture.daemons[number].callers(), request, TIMEOUT).await.unwrap();
    let outcome = response.header("x-daisydrum-outcome").to_owned();
    (response.status.as_u16(), outcome, response.body)
}

fn run_count(plain: &Service, key: &str) -> u64 {
    plain.counts().keys.get(key).copied().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_to_another_instance_gets_the_stored_response() {
    let (mut venture, plain, _token) = start("claims-kept", Behaviour::Answer).await;
    let first = lodge(&venture, 0, Some("k1"), "vent 7").await;
    assert_eq!((first.0, first.1.as_str()), (200, "ran"));
    for number in [0, 1, 2, 3] {
        assert_eq!(lodge(&venture, number, Some("k1"), "vent 7").await, first, "instance {number}");
    }
    assert_eq!(run_count(&plain, "k1"), 1);
    let other = lodge(&venture, 1, Some("k1"), "vent 8").await;
    assert_eq!((other.0, other.1.as_str()), (422, "not-run"));
    let without = lodge(&venture, 0, None, "vent 7").await;
    assert_eq!((without.0, without.1.as_str()), (400, "not-run"));

    // Without a quorum no claim is recorded, so the call isn't sent to the target.
    venture.daemons[1].kill();
    venture.daemons[2].kill();
    let refused = lodge(&venture, 0, Some("k2"), "vent 9").await;
    assert_eq!(refused.0, 503);
    assert_eq!(run_count(&plain, "k2"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_response_is_lost_is_never_run_again() {
    let (venture, plain, _token) = start("claims-lost", Behaviour::Drop).await;
    let first = lodge(&venture, 0, Some("k1"), "vent 7").await;
    assert_eq!(first.1, "may-have-run", "{first:?}");
    for number in [0, 1, 3] {
        let again = lodge(&venture, number, Some("k1"), "vent 7").await;
        assert_eq!((again.0, again.1.as_str()), (409, "may-have-run"), "instance {number}");
    }
    assert_eq!(run_count(&plain, "k1"), 1);
}
