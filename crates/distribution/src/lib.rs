//! How versions of the configuration reach the instances that don't keep the replicated log.
//!
//! An instance that holds a version gets the difference to the newest one ([`patch`]), another one the whole document,
//! both compressed. The serving side keeps the last differences ([`history`]). The bytes travel in segments, so that a
//! transfer that is interrupted goes on where it ended, at any instance that serves the same bytes, and other messages
//! on the connection wait for one segment at most ([`download`]).

pub mod download;
pub mod history;
pub mod patch;
