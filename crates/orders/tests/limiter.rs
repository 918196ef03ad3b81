//! Limits on the rate of model loads and on how many run at once.

use std::time::Duration;

use common::clock::Moment;
use expect_test::expect;
use orders::limiter::{Limiter, Limits};

#[test]
fn allows_no_more_loads_than_the_rate() {
    let start = Moment(1_000_000);
    let mut limiter = Limiter::new(Limits { at_once: 2, per_minute: 6 }, start);
    let mut started = Vec::new();
    for second in 0..60 {
        if limiter.take(0, start + Duration::from_secs(second)) {
            started.push(second);
        }
    }
    expect![[r#"[0, 1, 10, 20, 30, 40, 50]"#]].assert_eq(&format!("{started:?}"));
}

#[test]
fn allows_no_load_while_the_most_are_running() {
    let start = Moment(1_000_000);
    let mut limiter = Limiter::new(Limits { at_once: 2, per_minute: 600 }, start);
    assert!(limiter.take(1, start));
    assert!(!limiter.take(2, start + Duration::from_secs(30)));
}
