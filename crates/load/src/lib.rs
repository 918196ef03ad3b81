//! Open-loop load generator and reports.
