//! Open-loop load generator and reports.
//!
//! Requests are sent at times drawn beforehand, whether or not earlier ones have got a response, so that a stall shows
//! as latency. Each response is checked to be complete, to belong to its request, and to have no token twice.

pub mod arrival;
pub mod call;
pub mod report;
pub mod run;
pub mod scenario;
mod sse;
