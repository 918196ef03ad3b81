//! The operators' configuration: routes by host and path, services and limits.

use std::time::Duration;

use common::{collections::Set, name};
use derive_more::{Display, Error};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Its number; the highest is in force.
    pub version: u64,
    /// Routes in the order of their declaration.
    pub routes: Vec<Route>,
    /// Services in the order of their declaration.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host that the request names, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry: Retry,
    /// Delivery of the answers.
    pub delivery: Delivery,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank, 0 being the most urgent.
    pub priority: u8,
    /// Most targets that one request is sent to.
    pub max_attempts: u32,
    /// Services that serve it, with their shares.
    pub shares: Vec<Share>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// A request may run again after a failure.
    Idempotent,
    /// A request runs at most once.
    Never,
    /// An answer may be continued where it broke off.
    Resume,
}

/// Delivery of the answers of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// One body.
    Whole,
    /// A stream of events.
    Stream {
        /// Longest pause between events for which the answer is in time.
        gap: Duration,
    },
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: name::Service,
    /// Its weight among the shares.
    pub weight: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// Connections that each of its targets accepts from all callers together.
    pub connections: u32,
    /// Present where its targets run models.
    pub engine: Option<Engine>,
}

/// What the engines of a service offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit into the memory.
    pub kv_tokens: u64,
    /// Bytes of KV cache for each token.
    pub kv_token_bytes: u64,
    /// Bandwidth for KV caches, in Mbit/s.
    pub link_mbps: u64,
    /// Life of a computed prompt that is not fetched.
    pub handle_ttl: Duration,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection stays idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Holds until an operator declares others.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Why a configuration is refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A route names a service that is not declared.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: name::Service,
    },
    /// Two routes have the same host and prefix.
    #[display("route {route} has the host and prefix of another one")]
    DuplicateRoute {
        /// The second of them.
        route: String,
    },
    /// The weights of a route add up to 0.
    #[display("the weights of route {route} add up to 0")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A route's timeout is 0.
    #[display("the timeout of route {route} is 0")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
}

impl Config {
    /// Checks what the form of a configuration can't express.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), Error> {
        let services: Set<&name::Service> =
            self.services.iter().map(|service| &service.name).collect();
        let mut seen = Set::default();
        for route in &self.routes {
            let name = || route.name.clone();
            if let Some(share) =
                route.shares.iter().find(|share| !services.contains(&share.service))
            {
                let service = share.service.clone();
                return Err(Error::UnknownService { route: name(), service });
            }
            if !seen.insert((&route.host, &route.prefix)) {
                return Err(Error::DuplicateRoute { route: name() });
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(Error::ZeroWeight { route: name() });
            }
            if route.timeout.is_zero() {
                return Err(Error::ZeroTimeout { route: name() });
            }
        }
        Ok(())
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fitting = self.routes.iter().filter(|route| {
            path.starts_with(&route.prefix) && route.host.eq_ignore_ascii_case(host)
        });
        fitting.max_by_key(|route| route.prefix.len())
    }

    /// The service of this name.
    pub fn service(&self, name: &name::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

impl Route {
    /// The services of the route in the order in which a request tries them; `draw` is any random number.
    ///
    /// The first is drawn by weight; services without weight are left out.
    pub fn service_order(&self, draw: u64) -> Vec<&name::Service> {
        let mut shares: Vec<&Share> = self.shares.iter().filter(|share| share.weight > 0).collect();
        let total: u64 = shares.iter().map(|share| share.weight).fold(0, u64::saturating_add);
        let mut rest = draw % total.max(1);
        let first = shares.iter().position(|share| match rest.checked_sub(share.weight) {
            Some(left) => {
                rest = left;
                false
            }
            None => true,
        });
        if let Some(first) = first {
            shares[..=first].rotate_right(1);
        }
        shares.into_iter().map(|share| &share.service).collect()
    }
}
