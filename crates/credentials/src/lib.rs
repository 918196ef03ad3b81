//! Organisations' API keys, and the lease on the currency of the configuration that holds them; pure.
//!
//! [`table`] finds the organisation of a key, [`lease`] decides whether an instance may still trust what it finds there:
//! a revoked key must not be accepted by an instance that has missed its revocation. See docs/design/credentials.md.

pub mod lease;
pub mod table;
