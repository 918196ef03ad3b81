//! Replicated log as a pure step function.
