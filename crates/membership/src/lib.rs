//! Which instances and targets are alive, in a data centre and across.
//!
//! [`table::Table`] is pure: announcements and messages go in, messages and events come out. Instances of a data
//! centre reconcile by Scuttlebutt (van Renesse, Dumitriu, Gough and Thomas 2008): each update has an origin and
//! a version, and a digest of the versions tells what the other side lacks.

pub mod event;
pub mod message;
pub mod table;
