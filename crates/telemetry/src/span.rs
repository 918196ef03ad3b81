//! Trace spans and their export; the trace context travels in a header.
//!
//! The format of `traceparent` follows the W3C recommendation "Trace Context", level 1.

use std::{
    fs::{File, OpenOptions},
    hash::{BuildHasher, RandomState},
    io::{self, BufWriter, Write},
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    thread::{self, JoinHandle},
};

use common::{clock, ring};

use crate::otlp;

/// Name of the header that carries a [`Context`].
pub const HEADER: &str = "traceparent";
const RING_SPANS: usize = 8_192;

static SEQUENCE: AtomicU64 = AtomicU64::new(1);

/// A span's ids, which are passed on to its child spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// Id of the trace, shared by all spans of a request.
    pub trace: u128,
    /// Id of the span.
    pub span: u64,
}

impl Context {
    /// Starts a new trace.
    pub fn root() -> Context {
        Context { trace: (u128::from(random()) << 64) | u128::from(random()), span: random() }
    }

    /// Parses a `traceparent` header; `None` if it doesn't have the format of the recommendation.
    pub fn parse(header: &str) -> Option<Context> {
        let mut parts = header.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let lengths = (version.len(), trace.len(), span.len(), flags.len());
        if lengths != (2, 32, 16, 2)
            || version == "ff"
            || (version == "00" && parts.next().is_some())
        {
            return None;
        }
        let trace = u128::from_str_radix(trace, 16).ok()?;
        let span = u64::from_str_radix(span, 16).ok()?;
        if trace == 0 || span == 0 {
            return None;
        }
        Some(Context { trace, span })
    }

    /// Creates the context of a child span.
    pub fn child(self) -> Context {
        Context { trace: self.trace, span: random() }
    }

    /// Returns the value of a `traceparent` header.
    pub fn header(self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

/// A span that has not ended yet.
#[derive(Debug)]
pub struct Span {
    /// Its ids.
    pub context: Context,
    parent: Option<u64>,
    name: &'static str,
    start_ns: u64,
    attributes: Vec<otlp::Attribute>,
}

impl Span {
    /// Starts a span as a child of `parent`, or as the root of a new trace.
    pub fn start(name: &'static str, parent: Option<Context>) -> Span {
        let context = parent.map_or_else(Context::root, Context::child);
        let start_ns = clock::unix_ns();
        Span {
            context,
            parent: parent.map(|parent| parent.span),
            name,
            start_ns,
            attributes: Vec::new(),
        }
    }

    /// Adds an attribute.
    pub fn set(&mut self, key: &'static str, value: &(impl ToString + ?Sized)) {
        self.attributes.push(otlp::Attribute::new(key, value.to_string()));
    }

    fn end(self) -> otlp::Span {
        otlp::Span {
            trace_id: format!("{:032x}", self.context.trace),
            span_id: format!("{:016x}", self.context.span),
            parent_span_id: self.parent.map(|parent| format!("{parent:016x}")).unwrap_or_default(),
            name: String::from(self.name),
            start_time_unix_nano: self.start_ns.to_string(),
            end_time_unix_nano: clock::unix_ns().to_string(),
            attributes: self.attributes,
        }
    }
}

/// Exports ended spans; clones share one file.
#[derive(Clone, Debug)]
pub struct Exporter(Option<ring::Sender<otlp::Span>>);

impl Exporter {
    /// Creates an exporter that drops all spans.
    pub fn off() -> Exporter {
        Exporter(None)
    }

    /// Starts the thread that appends spans to `path` as OTLP JSON lines.
    ///
    /// The thread ends when the last clone of the exporter is dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the file can't be opened or the thread can't be started.
    pub fn start(path: &Path, instance: &str) -> io::Result<(Exporter, JoinHandle<()>)> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, receiver) = ring::bounded(RING_SPANS);
        let instance = String::from(instance);
        let thread = thread::Builder::new()
            .name(String::from("spans"))
            .spawn(move || write(file, &instance, &receiver))?;
        Ok((Exporter(Some(sender)), thread))
    }

    /// Ends a span now and exports it; it is dropped and counted if the ring is full.
    pub fn end(&self, span: Span) {
        let Some(sender) = &self.0 else {
            return;
        };
        if sender.send(span.end()).is_err() {
            metrics::counter!("daisydrum_spans_dropped_total").increment(1);
        }
    }
}

fn write(file: File, instance: &str, spans: &ring::Receiver<otlp::Span>) {
    let mut output = BufWriter::new(file);
    while let Ok(first) = spans.recv() {
        let mut batch = vec![first];
        batch.extend(spans.try_iter());
        let line = otlp::line(instance, batch);
        let written = writeln!(output, "{line}").and_then(|()| output.flush());
        if written.is_err() {
            metrics::counter!("daisydrum_spans_dropped_total").increment(1);
        }
    }
}

/// Returns a random number other than zero, from the process's random hash seed.
fn random() -> u64 {
    let number = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    RandomState::new().hash_one((number, clock::unix_ns())).max(1)
}
