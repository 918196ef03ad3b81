//! Distributes accepted declarations from the replicas to all instances.
//!
//! An instance that keeps a replica reads the log itself. In each data centre, one relay pulls from instances with
//! replicas, and the other instances pull from the relay. A pull is a long poll: it states the version that the
//! requester has and is answered as soon as a higher one is there, or after one second. Since each pull states the
//! version, the next one also repairs anything that was lost.

pub mod disk;
pub mod peer;
pub mod readiness;
pub mod replicated_log;
pub mod synchronizer;
pub mod upstream;
pub mod view;
