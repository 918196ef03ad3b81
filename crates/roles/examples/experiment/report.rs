//! The report as a self-contained HTML page.

use std::fmt::Write as _;

use roles::{capacity::Mix, policy::Rule};

use crate::{
    row::Row,
    svg::{self, Line},
};

const STYLE: &str = "body{font:14px sans-serif;max-width:900px;margin:2em auto;color:#222}\
    table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}\
    td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}svg{width:100%}\
    svg text{font-size:11px}svg text.title{font-weight:bold}svg .grid{stroke:#ddd}\
    polyline{stroke-width:1.3}pre{font-size:11px;background:#f6f6f6;padding:8px;overflow:auto}";
/// Maximum number of changes listed for each run.
const MAX_SHOWN_CHANGES: usize = 12;
const RED: &str = "#c0392b";
const BLUE: &str = "#2471a3";
const GREEN: &str = "#229954";

/// Renders the page.
pub fn page(rows: &[Row]) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Role changes</title>\
         <style>{STYLE}</style></head><body>\n<h1>Role changes: policy and baselines</h1>\n"
    );
    table(&mut page, rows);
    for group in rows.chunk_by(|a, b| a.trace.name == b.trace.name) {
        section(&mut page, group);
    }
    page.push_str("</body></html>\n");
    page
}

fn table(page: &mut String, rows: &[Row]) {
    page.push_str(
        "<table><tr><th>trace, weighting</th><th>controller</th><th>goodput</th><th>of bound</th>\
         <th>changes</th><th>score</th></tr>\n",
    );
    for row in rows {
        let line = format!(
            "<tr><td>{}, {}</td><td>{}</td><td>{:.0}</td><td>{:.1}%</td><td>{}</td><td>{:.0}</td></tr>\n",
            row.trace.name,
            row.weighting,
            row.controller,
            row.outcome.goodput,
            row.percent,
            row.outcome.changes,
            row.score
        );
        page.push_str(&line);
    }
    page.push_str("</table>\n");
}

/// Plots and changes of all runs of one trace.
fn section(page: &mut String, rows: &[Row]) {
    let trace = &rows[0].trace;
    let hours = svg::number(trace.steps.len()) * trace.step_seconds() / 3_600.0;
    let top = f64::from(trace.engines);
    let works = trace.work_by_step(Rule::default().rates());
    let demand = [
        line("prefill", RED, works.iter().map(|work| work.prefill).collect()),
        line("decode", BLUE, works.iter().map(|work| work.decode).collect()),
    ];
    writeln!(page, "<h2>{}</h2>", trace.name).expect("invariant: a string can be written to");
    page.push_str(&svg::plot("demand in engines", &demand, hours, top));
    for row in rows.iter().filter(|row| row.controller != "best fixed") {
        let count = |count: fn(&Mix) -> u32| {
            row.outcome.mixes.iter().map(|mix| f64::from(count(mix))).collect()
        };
        let lines = [
            line("prefill", RED, count(|mix| mix.prefill)),
            line("decode", BLUE, count(|mix| mix.decode)),
            line("mixed", GREEN, count(|mix| mix.mixed)),
        ];
        let title = format!("{}: engines by role, {}", row.weighting, row.controller);
        page.push_str(&svg::plot(&title, &lines, hours, top));
        events(page, row);
    }
}

fn events(page: &mut String, row: &Row) {
    if row.controller != "policy" || row.outcome.events.is_empty() {
        return;
    }
    page.push_str("<details><summary>first changes with their payoff</summary><pre>");
    for event in row.outcome.events.iter().take(MAX_SHOWN_CHANGES) {
        writeln!(
            page,
            "{:>6.0} s  {}  {} to {}: {}",
            svg::number(event.step) * row.trace.step_seconds(),
            event.engine,
            event.from,
            event.to,
            event.reason
        )
        .expect("invariant: a string can be written to");
    }
    page.push_str("</pre></details>\n");
}

fn line(name: &'static str, colour: &'static str, values: Vec<f64>) -> Line {
    Line { name, colour, values }
}
