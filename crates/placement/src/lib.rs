//! Load balancing, admission control and retry budgets for the requests of a fleet.
//!
//! Pure, without I/O: the current time and a random seed are arguments. [`balancer::Balancer`] selects the target of
//! a request. It uses the models of each target: [`speed`] predicts prefill times, [`backlog`] the wait for requests
//! sent earlier, [`cache`] which prompt prefixes are cached, and [`health`] which targets fail. [`condition`]
//! keeps what targets say of themselves, [`quota`] divides their limits among the instances. [`retry`] limits the
//! retries of the whole fleet. [`quarantine`] finds the parts of prompts that end engines, [`end`] decides whether a target has ended,
//! [`continuity`] decides where a stream may go on that broke off, [`deferral`] how long it waits for targets there, [`hedge`] which run goes on of a request whose target
//! was silent. [`cell`] divides the engines into groups, whose load a few instances know, [`outbox`] decides when notices of load are
//! sent to these, [`silence`] which of them are not asked. [`reach`] finds the services whose targets this instance can't reach, [`relay`] the peer that takes their
//! requests. [`precedence`] decides which requests give way when room is short.

pub mod backlog;
pub mod balancer;
pub mod cache;
pub mod cell;
pub mod condition;
pub mod continuity;
pub mod deferral;
pub mod doubt;
pub mod end;
pub mod health;
pub mod hedge;
pub mod outbox;
pub mod precedence;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod relay;
pub mod rendezvous;
pub mod retry;
pub mod silence;
pub mod speed;
pub mod stop;
