//! Admission, fairness, choice of target and retries, all pure.
//!
//! Time and seeds are arguments. [`router::Router`] joins the parts: [`fair_queue`] orders what waits, [`admission`]
//! bounds it, [`pool`] and [`target`] choose, [`prefix`] knows the caches, [`health`] ejects, [`retry`] bounds
//! repeated attempts and [`disaggregation`] splits prompts from generation.

pub mod admission;
pub mod disaggregation;
pub mod fair_queue;
pub mod health;
pub mod pool;
pub mod prefix;
pub mod request;
pub mod retry;
pub mod router;
pub mod target;
