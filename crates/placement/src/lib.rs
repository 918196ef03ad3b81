//! Where a request of the fleet runs, whether it is taken and whether it is tried again.
//!
//! All pure: the time and random numbers are arguments. [`balancer::Balancer`] joins the parts: [`speed`] predicts how
//! long prompts take, [`backlog`] what stands before a request at a target, [`cache`] which parts of prompts a
//! target holds, [`health`] which targets fail, and [`retry`] how often the fleet may be asked again.

pub mod backlog;
pub mod balancer;
pub mod cache;
pub mod health;
pub mod retry;
pub mod speed;
