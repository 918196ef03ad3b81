//! The report as one HTML page with its plots drawn in SVG.

use std::fmt::Write;

use super::Report;

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 180.0;
const STYLE: &str = "body{font:14px sans-serif;max-width:960px;margin:2em auto}pre{overflow:auto}\
    svg{background:#f7f7f7}text{font-size:12px}";

/// A line of a plot.
struct Line {
    name: &'static str,
    colour: &'static str,
    values: Vec<u64>,
}

/// Renders the page.
pub(super) fn render(report: &Report) -> String {
    let line = |name, colour, value: fn(&super::Second) -> u64| Line {
        name,
        colour,
        values: report.seconds.iter().map(value).collect(),
    };
    let goodput = [
        line("offered", "#888", |second| second.sent),
        line("in time", "#080", |second| second.in_time),
        line("refused", "#c60", |second| second.refused),
    ];
    let latency = [line("first token p95", "#06c", |second| second.first_p95_ms)];
    let changes = [Line { name: "role changes so far", colour: "#808", values: changes(report) }];
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title>\
         <style>{STYLE}</style></head><body><h1>Load report</h1>"
    );
    plot(&mut page, "Requests a second, by the second in which they were due", &goodput);
    plot(&mut page, "Milliseconds to the first token", &latency);
    plot(&mut page, "Role changes", &changes);
    let _ = write!(page, "<h2>Streams</h2><pre>{}</pre></body></html>", escape(&report.text()));
    page
}

fn changes(report: &Report) -> Vec<u64> {
    let count = |second: u64| report.changes.iter().filter(|change| change.at_s <= second).count();
    let seconds = u64::try_from(report.seconds.len()).unwrap_or_default();
    (0..seconds).map(|second| u64::try_from(count(second)).unwrap_or(u64::MAX)).collect()
}

fn plot(page: &mut String, title: &str, lines: &[Line]) {
    let highest = lines.iter().flat_map(|line| &line.values).copied().max().unwrap_or(0).max(1);
    let _ = write!(
        page,
        "<h2>{title}</h2><svg viewBox=\"0 -20 {WIDTH} {}\" width=\"{WIDTH}\" role=\"img\">\
         <text x=\"4\" y=\"-6\">highest {highest}</text>",
        HEIGHT + 40.0
    );
    for (position, line) in (0_u32..).zip(lines) {
        let x = 160.0 + f64::from(position) * 180.0;
        let _ = write!(
            page,
            "<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/><text x=\"{x}\" y=\"-6\" fill=\"{}\">{}</text>",
            line.colour,
            points(&line.values, highest),
            line.colour,
            line.name
        );
    }
    page.push_str("</svg>");
}

#[allow(clippy::cast_precision_loss, reason = "plots need no more than a double's digits")]
fn points(values: &[u64], highest: u64) -> String {
    let step = WIDTH / values.len().max(1) as f64;
    let mut points = String::new();
    for (position, value) in values.iter().enumerate() {
        let x = position as f64 * step;
        let y = HEIGHT * (1.0 - *value as f64 / highest as f64);
        let _ = write!(points, "{x:.1},{y:.1} ");
    }
    points
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
