//! Controllers that the policy is measured against, and the policy as a controller.

pub mod clairvoyant;
pub mod fixed;
pub mod planned;
pub mod threshold;
