//! Controllers that the policy is compared with, and the policy itself as a controller.

pub mod clairvoyant;
pub mod fixed;
pub mod planned;
pub mod threshold;
