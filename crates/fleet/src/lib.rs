//! Routes, services and targets of one fleet as the instances know them, all pure.
//!
//! [`config`] is what operators declare, [`registry`] what targets announce, [`register`] the replicated copy of
//! the newest configuration, [`exchange`] what the instances tell each other, and [`warmup`] whom a new one asks.

pub mod config;
pub mod exchange;
pub mod register;
pub mod registry;
pub mod warmup;
