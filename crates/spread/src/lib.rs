//! Brings accepted declarations from the replicas to every instance.
//!
//! Replicas feed their own instance from the log; one relay in each data centre pulls from the replicas, and the
//! other instances of the data centre pull from it. A pull says what the asker has and waits until there is more,
//! one second at most, so that it is also the exchange that mends whatever was missed.

pub mod disk;
pub mod peer;
pub mod readiness;
pub mod replicated_log;
pub mod synchronizer;
pub mod upstream;
pub mod view;
