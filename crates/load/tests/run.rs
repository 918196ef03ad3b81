//! Load runs against stand-ins, and their reports.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::cancel;
use expect_test::expect;
use load::{
    arrival, run,
    scenario::{Range, Rate, Scenario, Shape, Stream},
};
use standin::{engine, plain};

#[test]
fn the_same_seed_gives_the_same_requests() {
    let scenario = scenario(vec![completions()]);
    let arrivals = arrival::draw(&scenario);
    assert_eq!(arrivals, arrival::draw(&scenario));
    expect!["19 requests, the first after 22.411872ms"].assert_eq(&format!(
        "{} requests, the first after {:?}",
        arrivals.len(),
        arrivals[0].at
    ));
    assert_ne!(arrivals, arrival::draw(&Scenario { seed: 2, ..scenario }));
}

#[tokio::test]
async fn complete_responses_are_counted_as_whole() {
    let engine = engine::Engine::start(options(), cancel::Token::new()).await.unwrap();
    let mut scenario = scenario(vec![completions()]);
    scenario.callers = vec![engine.address()];
    let report = run::run(scenario).await;
    assert!(report.is_clean(), "{:?}", report.faults);
    let stream = &report.streams[0];
    assert_eq!(stream.whole, stream.sent);
    // The page loads nothing from elsewhere.
    let page = report.page();
    assert!(page.contains("<polyline") && !page.contains("//"), "{page}");
}

#[tokio::test]
async fn latency_of_3_s_is_reported() {
    let mut options = options();
    options.speed.step = Duration::from_secs(60);
    let engine = engine::Engine::start(options, cancel::Token::new()).await.unwrap();
    let mut stream = completions();
    if let Shape::Completion { output_tokens, .. } = &mut stream.shape {
        *output_tokens = Range { from: 2, to: 2 };
    }
    let mut scenario = scenario(vec![stream]);
    scenario.max_requests = 1;
    scenario.callers = vec![engine.address()];
    let report = run::run(scenario).await;
    // A step takes 60 s times the scale of 0.05.
    assert!(report.streams[0].total_ms.p50 >= 3_000, "{}", report.text());
}

#[tokio::test]
async fn truncated_responses_are_counted_as_cut_or_broken() {
    let options = engine::Options { crash_after_tokens: Some(20), ..options() };
    let engine = engine::Engine::start(options, cancel::Token::new()).await.unwrap();
    let mut scenario = scenario(vec![completions()]);
    scenario.callers = vec![engine.address()];
    let report = run::run(scenario).await;
    let stream = &report.streams[0];
    assert!(!report.is_clean());
    assert!(stream.cut > 0 && stream.broken > 0, "{}", report.text());
    assert_eq!(stream.whole + stream.cut + stream.broken, stream.sent);
}

#[tokio::test]
async fn resent_plain_calls_that_ran_twice_are_reported() {
    let plain = plain::Service::start(plain_options(), cancel::Token::new()).await.unwrap();
    let mut scenario = scenario(vec![lodgements()]);
    scenario.callers = vec![plain.address()];
    scenario.plain = vec![plain.address()];
    scenario.resends = 1;
    let report = run::run(scenario).await;
    assert!(!report.doubled.is_empty());
    assert!(!report.is_clean());
}

fn scenario(streams: Vec<Stream>) -> Scenario {
    Scenario {
        seed: 1,
        duration_s: 0.5,
        max_requests: 100,
        callers: Vec::new(),
        control: Vec::new(),
        plain: Vec::new(),
        resends: 0,
        streams,
    }
}

fn completions() -> Stream {
    Stream {
        name: String::from("drafts"),
        key: String::from("vent-example-key"),
        shape: Shape::Completion {
            model: String::from("small"),
            prompt_tokens: Range { from: 10, to: 200 },
            output_tokens: Range { from: 5, to: 20 },
            prefixes: 2,
            prefix_tokens: 2_000,
        },
        rates: vec![Rate { at_s: 0.0, per_s: 40.0 }],
        deadline_ms: 20_000,
        first_token_ms: 820,
        token_gap_ms: 43,
    }
}

fn lodgements() -> Stream {
    Stream {
        name: String::from("certificates"),
        shape: Shape::Plain {
            path: String::from("/certificates"),
            body_bytes: Range { from: 10, to: 50 },
        },
        ..completions()
    }
}

fn options() -> engine::Options {
    let mut options = engine::Options::new("engine-1", "association", "vent-llm", Vec::new());
    options.speed.scale = 0.05;
    options.max_waiting = 200;
    options
}

fn plain_options() -> plain::Options {
    let options =
        plain::Options::new("plain-1", "association", "member-portal", "suva", Vec::new());
    plain::Options { behaviour: plain::Behaviour::Drop, ..options }
}
