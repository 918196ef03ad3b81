//! The report as text for people.

use std::fmt::Write;

use super::{Report, Summary};

/// Writes a table of the streams, the refusals and the failed requests.
pub(super) fn render(report: &Report) -> String {
    let mut text = format!("seed {}, {} s\n", report.seed, report.duration_s);
    let _ = writeln!(
        text,
        "{:<16}{:>7}{:>7}{:>8}{:>8}{:>9}{:>6}{:>5}{:>7}{:>5}{:>6}{:>7}  first token p50/p95/p99 ms  total p50/p95/p99 ms",
        "stream",
        "sent",
        "whole",
        "in time",
        "not run",
        "may have",
        "wrong",
        "cut",
        "broken",
        "late",
        "other",
        "resent"
    );
    for stream in &report.streams {
        row(&mut text, stream);
    }
    let _ = writeln!(text, "role changes: {}", report.changes.len());
    let _ = writeln!(text, "keys that ran more than once: {}", report.doubled.len());
    for (reason, count) in &report.refusals {
        let _ = writeln!(text, "refused {count} times: {reason}");
    }
    for fault in &report.faults {
        let _ = writeln!(text, "fault: {fault}");
    }
    text
}

fn row(text: &mut String, stream: &Summary) {
    let (first, total) = (stream.first_ms, stream.total_ms);
    let _ = writeln!(
        text,
        "{:<16}{:>7}{:>7}{:>8}{:>8}{:>9}{:>6}{:>5}{:>7}{:>5}{:>6}{:>7}  {:>8}/{:>8}/{:>8}  {:>6}/{:>6}/{:>6}",
        stream.name,
        stream.sent,
        stream.whole,
        stream.in_time,
        stream.not_run,
        stream.may_have_run,
        stream.wrong,
        stream.cut,
        stream.broken,
        stream.late,
        stream.other,
        stream.resent,
        first.p50,
        first.p95,
        first.p99,
        total.p50,
        total.p95,
        total.p99,
    );
}
