//! The request path from callers to targets.
