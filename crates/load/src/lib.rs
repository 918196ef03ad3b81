//! Open-loop load generator and reports.
//!
//! Requests are sent at times drawn beforehand, whether or not earlier ones have been answered, so that a stall
//! shows as latency. Each answer is checked to be whole, the request's own and single.

pub mod arrival;
pub mod call;
pub mod report;
pub mod run;
pub mod scenario;
mod stream;
