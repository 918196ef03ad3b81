//! The spans of one request as a tree.

use daisyctl::command::trace;
use expect_test::expect;
use telemetry::otlp;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

#[test]
fn shows_each_span_below_its_parent() {
    let text = [
        otlp::line("suva-1", vec![span(TRACE, "b", "a", "attempt", 3_000_000)]),
        String::from("{\"resourceSpans\": [cut"),
        otlp::line("suva-1", vec![span(TRACE, "a", "", "request", 1_000_000)]),
        otlp::line("suva-1", vec![span("other", "d", "", "request", 1_000_000)]),
        otlp::line("nadi-1", vec![span(TRACE, "c", "b", "request", 4_000_000)]),
    ];
    let hops = trace::select(&text.join("\n"), TRACE);
    expect![[r#"
        request 9.000 ms instance=suva-1 target=engine-1
          attempt 7.000 ms instance=suva-1 target=engine-1
            request 6.000 ms instance=nadi-1 target=engine-1
    "#]]
    .assert_eq(&trace::render(hops));
}

fn span(trace: &str, id: &str, parent: &str, name: &str, start_ns: u64) -> otlp::Span {
    otlp::Span {
        trace_id: String::from(trace),
        span_id: String::from(id),
        parent_span_id: String::from(parent),
        name: String::from(name),
        start_time_unix_nano: start_ns.to_string(),
        end_time_unix_nano: String::from("10000000"),
        attributes: vec![otlp::Attribute::new("target", String::from("engine-1"))],
    }
}
