//! The lines of one request from the logs of several instances.

use daisyctl::command::explain::Log;
use expect_test::expect;

const LOG: &str = r#"
built in 0.2 s
   1.0000 front-suva-1 ts_ms=1000 level=info event="target_known" address="10.1.0.2:80" stage="Some(Decode)" state=Ready target=i-1
   1.1000 front-suva-1 ts_ms=1100 level=debug event="request_placed" left_ms=5000 predicted_ms=60 target=i-1 route=summary id=a1
   1.1500 front-suva-1 ts_ms=1150 level=debug event="request_placed" left_ms=5000 predicted_ms=60 target=i-2 route=summary id=b2
   1.9000 front-suva-1 ts_ms=1900 level=info event="target_left_out" outcome=Broken target=i-1 id=other
   1.8000 front-suva-1 ts_ms=1800 level=info event="stream_broke_off" ms=700 last_event="Some(3)" id=a1
   2.0000 front-nadi-1 ts_ms=2000 level=info event="target_left_out" outcome=Broken target=i-1
   2.1000 front-suva-1 ts_ms=2100 level=debug event="stream_ended" whole=true note="said \"done\"" id=a1
   2.2000 front-suva-1 ts_ms=2200 level=info event="cut
   9.9000 front-suva-1 ts_ms=9900 level=info event="target_left_out" target=i-1
"#;

#[test]
fn shows_the_lines_of_a_request_and_the_events_of_its_targets_ordered_by_time() {
    let log = Log::read(&[String::from(LOG)]);
    expect![[r#"
        request a1
        ~   -100 ms  front-suva-1  target_known  target=i-1 state=Ready stage=Some(Decode) address=10.1.0.2:80
               0 ms  front-suva-1  request_placed  route=summary target=i-1 predicted_ms=60 left_ms=5000
             700 ms  front-suva-1  stream_broke_off  last_event=Some(3) ms=700
        ~    800 ms  front-suva-1  target_left_out  target=i-1 outcome=Broken
            1000 ms  front-suva-1  stream_ended  note=said "done" whole=true
        2 other lines skipped
    "#]]
    .assert_eq(&log.explain("a1").unwrap_or_default());
}

#[test]
fn an_unknown_request_gives_nothing_and_malformed_lines_are_counted() {
    let log = Log::read(&[String::from(LOG), String::from("ts_ms=soon event=x\nts_ms=1 x\n")]);
    assert_eq!(log.explain("nobody"), None);
    assert_eq!(log.skipped, 4);
}

#[test]
fn truncated_logs_never_cause_a_panic() {
    for length in 0..LOG.len() {
        if LOG.is_char_boundary(length) {
            let _read = Log::read(&[String::from(&LOG[..length])]).explain("a1");
        }
    }
}
