//! Trace context in and out.

use telemetry::span::Context;

#[yare::parameterized(
    sound = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true },
    later_version = { "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more", true },
    no_trace = { "00-00000000000000000000000000000000-00f067aa0ba902b7-01", false },
    no_span = { "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false },
    short = { "00-4bf92f3577b34da6-00f067aa0ba902b7-01", false },
    forbidden_version = { "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false },
    too_many_parts = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x", false },
    no_digits = { "00-zzf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false },
    empty = { "", false },
)]
fn reads_trace_context(header: &str, sound: bool) {
    assert_eq!(Context::parse(header).is_some(), sound);
}

#[test]
fn a_child_stays_in_its_trace() {
    let root = Context::root();
    let child = root.child();
    assert_eq!(child.trace, root.trace);
    assert_ne!(child.span, root.span);
    assert_eq!(Context::parse(&child.header()), Some(child));
}
