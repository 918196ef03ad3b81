//! `daisyctl trace`: the spans of one request as a tree.

use std::fs;

use common::collections;
use telemetry::otlp;

use crate::{arguments, error::Error, output};

const NS_PER_MS: f64 = 1e6;
const INDENT: &str = "  ";

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when a file can't be read or none contains the trace.
pub fn run(arguments: &arguments::Trace) -> Result<(), Error> {
    let mut hops = Vec::new();
    for path in &arguments.spans {
        let text =
            fs::read_to_string(path).map_err(|cause| Error::File { path: path.clone(), cause })?;
        hops.extend(select(&text, &arguments.id));
    }
    if hops.is_empty() {
        let reason = format!("no span of trace {} in the files named by --spans", arguments.id);
        return Err(Error::Refused { reason });
    }
    output::text(&render(hops));
    Ok(())
}

/// A span and the instance that wrote it.
#[derive(Clone, Debug)]
pub struct Hop {
    /// The instance.
    pub instance: String,
    /// The span.
    pub span: otlp::Span,
}

/// The spans of one trace in a file of OTLP JSON lines; lines that can't be parsed are skipped.
pub fn select(text: &str, trace: &str) -> Vec<Hop> {
    let requests = text.lines().filter_map(|line| serde_json::from_str::<otlp::Request>(line).ok());
    let processes = requests.flat_map(|request| request.resource_spans);
    processes.flat_map(|process| hops(process, trace)).collect()
}

/// The spans as a tree, each below its parent, ordered by start time.
pub fn render(mut hops: Vec<Hop>) -> String {
    hops.sort_by_key(|hop| nanoseconds(&hop.span.start_time_unix_nano));
    let known: collections::Set<String> = hops.iter().map(|hop| hop.span.span_id.clone()).collect();
    let mut text = String::new();
    for hop in hops.iter().filter(|hop| !known.contains(&hop.span.parent_span_id)) {
        render_subtree(hop, &hops, 0, &mut text);
    }
    text
}

fn hops(process: otlp::ResourceSpans, trace: &str) -> Vec<Hop> {
    let id =
        process.resource.attributes.iter().find(|attribute| attribute.key == "service.instance.id");
    let instance = id.map(|attribute| attribute.value.string_value.clone()).unwrap_or_default();
    let spans = process.scope_spans.into_iter().flat_map(|scope| scope.spans);
    spans
        .filter(|span| span.trace_id == trace)
        .map(|span| Hop { instance: instance.clone(), span })
        .collect()
}

fn render_subtree(hop: &Hop, hops: &[Hop], depth: usize, text: &mut String) {
    text.push_str(&line(hop, depth));
    for child in hops.iter().filter(|child| child.span.parent_span_id == hop.span.span_id) {
        render_subtree(child, hops, depth + 1, text);
    }
}

fn line(hop: &Hop, depth: usize) -> String {
    let span = &hop.span;
    let length = nanoseconds(&span.end_time_unix_nano)
        .saturating_sub(nanoseconds(&span.start_time_unix_nano));
    let attributes: String = span
        .attributes
        .iter()
        .map(|pair| format!(" {}={}", pair.key, pair.value.string_value))
        .collect();
    let indent = INDENT.repeat(depth);
    format!(
        "{indent}{} {:.3} ms instance={}{attributes}\n",
        span.name,
        length as f64 / NS_PER_MS,
        hop.instance
    )
}

fn nanoseconds(text: &str) -> u64 {
    text.parse().unwrap_or_default()
}
