//! The operators' configuration: routes by host and path, services and limits.

use std::time::Duration;

use common::{collections::Set, name};
use derive_more::{Display, Error};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Version number; the highest one is in force.
    pub version: u64,
    /// Routes in declaration order.
    pub routes: Vec<Route>,
    /// Services in declaration order.
    pub services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: Limits,
}

impl Config {
    /// Whether requests belong to organisations. No configuration declares any yet.
    pub fn has_organisations(&self) -> bool {
        false
    }
}

/// How the requests for one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, used in logs.
    pub name: String,
    /// Value of the `host` header, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be retried after a failure.
    pub retry: Retry,
    /// Whether answers are single bodies or event streams.
    pub delivery: Delivery,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Latency objective: an answer, or its first token, that comes later is worth less.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of attempts for one request, the first one included.
    pub max_attempts: u32,
    /// Services that serve the route, with their weights.
    pub shares: Vec<Share>,
}

/// What may be retried after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// A request may run again from its beginning.
    Idempotent,
    /// A request runs at most once.
    Never,
    /// A broken stream may be resumed after the last event received.
    Resume,
}

/// How the answers of a route arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As a single body.
    Whole,
    /// As a stream of events.
    Stream {
        /// Longest pause between two events of an answer that counts as in time.
        gap: Duration,
    },
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: name::Service,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}

/// A service and what its targets offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Path at which a target says who it is while it is healthy; `None` if it has none.
    pub health_path: Option<String>,
    /// Connections that each target accepts from all clients together.
    pub connections: u32,
    /// Properties of the engines; `None` if the targets run no models.
    pub engine: Option<Engine>,
}

/// Properties of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Size of the KV cache per token, in bytes.
    pub kv_token_bytes: u64,
    /// Bandwidth of KV cache transfers, in Mbit/s.
    pub link_mbps: u64,
    /// Time after which an engine discards a prefilled prompt that no other engine has fetched.
    pub handle_ttl: Duration,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head (request line and header fields), in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a head to arrive.
    pub head_time: Duration,
    /// Maximum time that a connection stays idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The limits in force before the first configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A route names a service that is not declared.
    #[display("route {route} names service {service}, which is not declared")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undeclared service.
        service: name::Service,
    },
    /// Two routes have the same host and path prefix.
    #[display("route {route} has the same host and path prefix as an earlier route")]
    DuplicateRoute {
        /// Name of the later one.
        route: String,
    },
    /// The weights of a route add up to 0.
    #[display("the weights of route {route} add up to 0; at least one service needs a weight")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route's timeout is 0.
    #[display("the timeout of route {route} is 0; it must be above 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
}

impl Config {
    /// Checks the rules that decoding alone doesn't enforce: references, duplicates and zero values.
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

    /// The route of a request: among those of its host, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|route| {
            path.starts_with(&route.prefix) && route.host.eq_ignore_ascii_case(host)
        });
        matching.max_by_key(|route| route.prefix.len())
    }

    /// The service with a name.
    pub fn service(&self, name: &name::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

impl Route {
    /// The services of the route in the order in which a request tries them.
    ///
    /// `draw`, any random number, selects the first service by weight; the others follow in declaration order.
    /// Services with weight 0 are left out.
    pub fn service_order(&self, draw: u64) -> Vec<&name::Service> {
        let mut shares: Vec<&Share> = self.shares.iter().filter(|share| share.weight > 0).collect();
        let total: u64 = shares.iter().map(|share| share.weight).fold(0, u64::saturating_add);
        let mut offset = draw % total.max(1);
        let first = shares.iter().position(|share| match offset.checked_sub(share.weight) {
            Some(remaining) => {
                offset = remaining;
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
