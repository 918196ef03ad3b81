//! Plans how many ordinary and reclaimable targets a service has in each data centre.
//!
//! Reclaimable targets cost a fraction of ordinary ones, but the platform may take all of a data centre's at once.
//! [`plan::plan`] replaces ordinary targets by reclaimable ones at the capacity that the service had at the start, and
//! keeps a floor of ordinary ones in each data centre. It is pure: the caller passes the time and what targets have
//! announced, sends the orders and reports their outcomes to [`state::State::record`].

pub mod input;
pub mod order;
pub mod plan;
pub mod state;

mod demand;
mod sizing;
