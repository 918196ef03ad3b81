//! Logs, metrics and trace spans.

pub mod log;
pub mod metric;
pub mod otlp;
pub mod span;
