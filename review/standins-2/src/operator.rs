//! The operator: sends configs and reads them back, moving on to another daemon after a failure, a 5xx, or a second
//! without a response.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Longest wait for a response.
const LIMIT: Duration = Duration::from_secs(1);

/// Sends a config until it is acknowledged, refused with a 4xx, or the time is over; returns the last status.
pub fn put(
    controls: &[SocketAddr],
    first: usize,
    config: &str,
    limit: Duration,
    record: &Record,
) -> u16 {
    repeat(controls, first, limit, |address| {
        let sent = record.ms();
        let fields = [("Content-Type", "application/json")];
        let response =
            http::request(address, "PUT", "/-/config", &fields, config.as_bytes(), LIMIT);
        record.line(format!("PUT /-/config at {address}, sent at {sent} ms: {}", response.status));
        (response.status == 200 || (400..500).contains(&response.status), response.status)
    })
}

/// Reads the config until one is returned or the time is over; returns its text.
pub fn get(
    controls: &[SocketAddr],
    first: usize,
    limit: Duration,
    record: &Record,
) -> Option<String> {
    let mut text = None;
    repeat(controls, first, limit, |address| {
        let sent = record.ms();
        let response = http::request(address, "GET", "/-/config", &[], &[], LIMIT);
        let whole = response.whole && response.status == 200;
        record.line(format!("GET /-/config at {address}, sent at {sent} ms: {}", response.status));
        if whole {
            text = Some(String::from_utf8_lossy(&response.body).into_owned());
        }
        (whole, response.status)
    });
    text
}

fn repeat(
    controls: &[SocketAddr],
    first: usize,
    limit: Duration,
    mut call: impl FnMut(SocketAddr) -> (bool, u16),
) -> u16 {
    let until = Instant::now() + limit;
    let mut backoff = Duration::from_millis(50);
    let mut status = 0;
    for attempt in 0.. {
        if Instant::now() >= until {
            break;
        }
        let (is_done, last) = call(controls[(first + attempt) % controls.len()]);
        status = last;
        if is_done {
            break;
        }
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(Duration::from_millis(800));
    }
    status
}

/// A config with a route to each of these services, in the order of the fields.
pub fn config(version: u64, routes: &[Route]) -> String {
    encode(version, routes, routes)
}

/// A config with these routes, which all lead to the service of one route.
pub fn config_with_service(version: u64, routes: &[Route], service: &Route) -> String {
    encode(version, routes, std::slice::from_ref(service))
}

fn encode(version: u64, routes: &[Route], services: &[Route]) -> String {
    let route = |route: &Route| {
        format!(
            r#"{{"name":"{name}","host":"vents.example","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout},"target_latency_ms":{latency},"priority":1,"service":"{service}","max_attempts":{attempts},"session_affinity":{affinity},"resumable":{resumable},"gap_target_ms":250}}"#,
            name = route.name,
            kind = route.kind,
            timeout = route.timeout_ms,
            latency = route.timeout_ms / 4,
            service = route.service,
            attempts = route.attempts,
            affinity = route.engine,
            resumable = route.resumable,
        )
    };
    let service = |route: &Route| {
        let engine = if route.engine {
            r#","engine":{"slots":64,"kv_capacity_tokens":505550,"kv_token_bytes":327680,"link_mbps":3800000.0,"moves":true,"backups":true,"stride":10,"most":12,"handle_ttl_s":5.0,"switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}"#
        } else {
            ""
        };
        format!(
            r#"{{"name":"{}","health_path":"/health","max_connections":110,"protocol":"h1","tls":false{engine}}}"#,
            route.service
        )
    };
    let routes_text: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes_text.join(","),
        services.join(",")
    )
}

/// A route of a config, with a service of its own.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub engine: bool,
    pub resumable: bool,
}

/// A route of plain requests that may run at most once.
pub fn unsafe_route(timeout_ms: u64) -> Route {
    Route {
        name: "lodge",
        kind: "unsafe",
        service: "portal",
        timeout_ms,
        attempts: 1,
        engine: false,
        resumable: false,
    }
}
