//! The `traceparent` header and child contexts.

use telemetry::span::Context;

#[yare::parameterized(
    valid = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true },
    later_version = { "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more", true },
    no_trace = { "00-00000000000000000000000000000000-00f067aa0ba902b7-01", false },
    no_span = { "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false },
    short = { "00-4bf92f3577b34da6-00f067aa0ba902b7-01", false },
    forbidden_version = { "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false },
    too_many_parts = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x", false },
    no_digits = { "00-zzf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false },
    empty = { "", false },
)]
fn only_a_valid_traceparent_is_parsed(header: &str, valid: bool) {
    assert_eq!(Context::parse(header).is_some(), valid);
}

#[test]
fn a_child_context_keeps_the_trace_id() {
    let root = Context::root();
    let child = root.child();
    assert_eq!(child.trace, root.trace);
    assert_ne!(child.span, root.span);
    assert_eq!(Context::parse(&child.header()), Some(child));
}
