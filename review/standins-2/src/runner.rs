//! Runners: not needed by all cases.
