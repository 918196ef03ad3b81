//! Stand-in engine and plain service for tests and trials.
