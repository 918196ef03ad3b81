//! Spans as OTLP JSON lines.
//!
//! Shapes follow the JSON mapping of `ExportTraceServiceRequest` in the OpenTelemetry protocol 1.x.

use serde::{Deserialize, Serialize};

/// One line of a file of spans.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Request {
    /// Spans by process.
    pub resource_spans: Vec<Process>,
}

/// The spans of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Process {
    /// The process.
    pub resource: Resource,
    /// Spans by library.
    pub scope_spans: Vec<Scope>,
}

/// What a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Its attributes, `service.instance.id` among them.
    pub attributes: Vec<Attribute>,
}

/// The spans of one library.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// The spans.
    pub spans: Vec<Span>,
}

/// A span that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Span {
    /// The trace as 32 hexadecimal digits.
    pub trace_id: String,
    /// The span as 16 hexadecimal digits.
    pub span_id: String,
    /// The parent as 16 hexadecimal digits, or empty.
    #[serde(default)]
    pub parent_span_id: String,
    /// Name of the hop.
    pub name: String,
    /// Start, in nanoseconds since the Unix epoch.
    pub start_time_unix_nano: String,
    /// End, in nanoseconds since the Unix epoch.
    pub end_time_unix_nano: String,
    /// Its attributes.
    #[serde(default)]
    pub attributes: Vec<Attribute>,
}

/// A named value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attribute {
    /// Its name.
    pub key: String,
    /// Its value.
    pub value: Value,
}

impl Attribute {
    /// Makes an attribute.
    pub fn new(key: &str, value: String) -> Attribute {
        Attribute { key: String::from(key), value: Value { string_value: value } }
    }
}

/// A value of text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Value {
    /// The text.
    pub string_value: String,
}

/// One line with the spans of an instance, without the line's end.
pub fn line(instance: &str, spans: Vec<Span>) -> String {
    let attributes = vec![
        Attribute::new("service.name", String::from("daisydrum")),
        Attribute::new("service.instance.id", String::from(instance)),
    ];
    let process = Process { resource: Resource { attributes }, scope_spans: vec![Scope { spans }] };
    let request = Request { resource_spans: vec![process] };
    serde_json::to_string(&request).expect("invariant: spans have only text keys")
}
