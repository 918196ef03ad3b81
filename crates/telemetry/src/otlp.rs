//! Spans as lines of OTLP JSON.
//!
//! The types follow the JSON mapping of `ExportTraceServiceRequest` in the OpenTelemetry protocol 1.x.

use serde::{Deserialize, Serialize};

/// One line of a span file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Request {
    /// Spans by process.
    pub resource_spans: Vec<ResourceSpans>,
}

/// The spans of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ResourceSpans {
    /// Identifies the process.
    pub resource: Resource,
    /// Spans by library.
    pub scope_spans: Vec<ScopeSpans>,
}

/// Describes a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Its attributes, `service.instance.id` among them.
    pub attributes: Vec<Attribute>,
}

/// The spans of one library.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeSpans {
    /// A batch of spans that have ended.
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
    /// The operation that the span covers.
    pub name: String,
    /// Start, in nanoseconds since the Unix epoch.
    pub start_time_unix_nano: String,
    /// End, in nanoseconds since the Unix epoch.
    pub end_time_unix_nano: String,
    /// Its attributes.
    #[serde(default)]
    pub attributes: Vec<Attribute>,
}

/// Attribute of a process or span.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attribute {
    /// Name, such as `service.name`.
    pub key: String,
    /// OTLP allows other types, too; only strings are written here.
    pub value: Value,
}

impl Attribute {
    /// Creates an attribute.
    pub fn new(key: &str, value: String) -> Attribute {
        Attribute { key: String::from(key), value: Value { string_value: value } }
    }
}

/// `AnyValue` of OTLP with a string.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Value {
    /// Numbers are written as text, too.
    pub string_value: String,
}

/// Returns one line with the spans of an instance, without a line break.
pub fn line(instance: &str, spans: Vec<Span>) -> String {
    let attributes = vec![
        Attribute::new("service.name", String::from("daisydrum")),
        Attribute::new("service.instance.id", String::from(instance)),
    ];
    let resource_spans = ResourceSpans {
        resource: Resource { attributes },
        scope_spans: vec![ScopeSpans { spans }],
    };
    let request = Request { resource_spans: vec![resource_spans] };
    serde_json::to_string(&request)
        .expect("invariant: values whose map keys are strings serialise to JSON")
}
