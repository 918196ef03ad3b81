//! A request that ends each target that begins to run it, and comes again and again.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, collections::Map, random::Random};
use platform_standin::{client, runner::Content};
use tokio::{task::JoinSet, time};

use crate::{
    checker::{Invariant, Violation},
    history::{Crashing, Disturbance, History, Kind, Request},
    plan::Victim,
};

/// Mean interval between two requests.
const MEAN_INTERVAL: Duration = Duration::from_millis(150);
/// Parts of its prompt that all its requests share; the first one is that of sound requests, too.
const PARTS: [u64; 2] = [0x5c1e_07a2, 0xdead];
/// Added to the number of a request for the last part of its prompt.
const OWN_PART: u64 = 0xa_0000;
/// Number of targets that it may end before it counts as one that ends targets.
const MAX_CRASHES: usize = 3;
/// Time after the last of them from which instances know it: the operators' bound.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of times that it may reach targets later.
const MAX_LATER_ARRIVALS: usize = 3;
/// Smallest share of the sound requests that are served once instances know it and the targets are back.
const MIN_SERVED_SHARE: f64 = 0.5;
/// Smallest number of requests of which a share is taken.
const MIN_REQUESTS: usize = 20;

/// The path and the body of the requests of a kind.
pub fn content(kind: Kind) -> Content {
    let body = if kind.is_stream() { "prompt" } else { "crash" };
    Content::new(&path(kind), body)
}

fn path(kind: Kind) -> String {
    format!("/{kind}/crash")
}

/// Sends the request to one instance after the other until the token is cancelled; returns the instances by request id.
pub async fn send(
    kind: Kind,
    entries: Vec<SocketAddr>,
    seed: u64,
    token: cancel::Token,
) -> Map<String, usize> {
    let mut random = Random::new(seed);
    let (mut sent, mut in_flight) = (Map::default(), JoinSet::new());
    while !token.is_cancelled() {
        time::sleep(MEAN_INTERVAL.mul_f64(2.0 * random.unit())).await;
        let (entry, number) = (random.below(entries.len()), sent.len());
        let id = format!("{seed}-crash-{number}");
        sent.insert(id.clone(), entry);
        let address = entries[entry];
        in_flight.spawn(async move {
            if kind.is_stream() {
                let parts = [PARTS[0], PARTS[1], OWN_PART + number as u64];
                client::post_stream_with_parts(address, &path(kind), &id, &parts).await
            } else {
                client::post_plain_body(address, &path(kind), &id, "crash").await
            }
        });
        while in_flight.try_join_next().is_some() {}
    }
    in_flight.shutdown().await;
    sent
}

/// Checks that the request reaches few targets once it has ended some, and that sound requests are served then.
pub fn check(history: &History) -> Vec<Violation> {
    let Crashing { arrivals, crashes, .. } = &history.crashing;
    let mut crashes = crashes.clone();
    crashes.sort_unstable();
    let Some(counted) = crashes.get(MAX_CRASHES - 1).copied() else {
        return Vec::new();
    };
    let is_sound = |entry: usize, from: Duration, until: Duration| {
        !overlaps(&history.disturbances, entry, from, until)
    };
    let is_heard = |entry: usize, from: Duration, until: Duration| {
        !overlaps(&history.lost_datagrams, entry, from, until)
    };
    let mut violations = Vec::new();
    let later: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > counted + CONTACT)
        .filter(|arrival| {
            let (entry, from, until) =
                (arrival.entry, arrival.at.saturating_sub(CONTACT), arrival.at);
            is_sound(entry, from, until) && is_heard(entry, from, until)
        })
        .collect();
    if later.len() > MAX_LATER_ARRIVALS {
        let ends = crashes.len();
        let detail = format!("third end at {counted:?}, {ends} in all; reached targets: {later:?}");
        violations.push(Violation { invariant: Invariant::Crashes, detail });
    }
    let sound = history.requests.iter().filter(|request| {
        request.sent > counted + 2 * CONTACT
            && request.ended < history.crashing.until
            && is_sound(request.entry, request.sent.saturating_sub(CONTACT), request.ended)
    });
    let (served, failed): (Vec<&Request>, Vec<&Request>) =
        sound.partition(|request| request.response.status == Some(200) && request.response.whole);
    let count = served.len() + failed.len();
    if count >= MIN_REQUESTS && (served.len() as f64) < MIN_SERVED_SHARE * count as f64 {
        let failures: Vec<_> = failed
            .iter()
            .map(|request| (&request.id, request.entry, request.sent, request.response.status))
            .collect();
        let served = served.len();
        let detail = format!("{served} of {count} sound requests served, but not {failures:?}");
        violations.push(Violation { invariant: Invariant::Crashes, detail });
    }
    violations
}

/// Whether an instance had one of these disturbances in a time.
fn overlaps(disturbances: &[Disturbance], entry: usize, from: Duration, until: Duration) -> bool {
    let mut of_entry = disturbances.iter().filter(|other| other.victim == Victim::Entry(entry));
    of_entry.any(|other| other.overlaps(from, until))
}
