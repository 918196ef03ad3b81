//! Group membership by gossip: which instances and targets are alive, within a data centre and across data centres.
//!
//! [`table::Table`] does no I/O: announcements and messages go in, messages and events come out. Instances of a data
//! centre reconcile their tables by Scuttlebutt (van Renesse, Dumitriu, Gough and Thomas 2008): each update has an
//! origin and a version, and a digest of the versions that one side has shows the other which updates to send.

pub mod event;
pub mod message;
pub mod table;
