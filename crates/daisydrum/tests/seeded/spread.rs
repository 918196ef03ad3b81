//! The spread of configurations to entry instances, past a control instance that stops responding.

use std::{
    future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::{cancel, name};
use daisydrum::component::peers::{self, Handler, Server};
use fleet::exchange::{self, Answer, Cursor, Identity, Kind, Question, Update};
use platform_standin::client;
use replica::host::Handle;
use tarpc::server::Channel;
use tokio::{net::TcpListener, time};
use wire::{
    link::Link,
    peer::{self, Peer, PeerClient},
};

use crate::{fleet as fleets, metrics};

/// A control instance that announces a version and never responds to a request for it.
#[derive(Clone)]
struct Unresponsive {
    identity: Identity,
    version: Arc<AtomicU64>,
    /// Requests for the configuration that arrived, and those whose sender gave up.
    requested: Arc<AtomicU64>,
    abandoned: Arc<AtomicU64>,
}

/// Counts when it is dropped.
struct Abandoned(Arc<AtomicU64>);

impl Drop for Abandoned {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl Unresponsive {
    /// Starts to listen on the peers' port of `address`.
    async fn start(address: SocketAddr) -> Unresponsive {
        let standin = Unresponsive {
            identity: Identity {
                instance: name::Instance(address.to_string()),
                address,
                data_centre: name::DataCentre::from("suva"),
                kind: Kind::Control,
            },
            version: Arc::default(),
            requested: Arc::default(),
            abandoned: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.unwrap();
        let handler = standin.clone();
        let serve = move |stream| {
            peers::execute(peers::channel(stream).execute(Server(handler.clone()).serve()))
        };
        tokio::spawn(peers::accept(listener, serve, cancel::Token::new()));
        standin
    }

    /// Announces itself to a control instance, which reports it to the entry instances.
    async fn introduce(&self, control: SocketAddr) {
        let from = self.identity.clone();
        let question =
            Question::Follow { from, cursor: Cursor::default(), version: 0, wait_ms: 100 };
        let call = async |client: &PeerClient, context| {
            client.exchange(context, exchange::encode(&question)).await
        };
        Link::new(control).call(Duration::from_secs(10), call).await.unwrap();
    }

    fn update(&self) -> Answer {
        Answer::Update(Update {
            reading: None,
            predecessor: None,
            cursor: Cursor { incarnation: 1, revision: 0 },
            contact: true,
            version: self.version.load(Ordering::SeqCst),
            targets: Vec::new(),
            changing: Vec::new(),
            control: Vec::new(),
            entries: Vec::new(),
            versions: Vec::new(),
            roster: 0,
        })
    }
}

impl Handler for Unresponsive {
    fn identity(&self) -> peer::Identity {
        peer::Identity {
            version: peer::VERSION,
            instance: self.identity.instance.clone(),
            data_centre: self.identity.data_centre.clone(),
        }
    }

    fn replica(&self, _branch: &name::Branch) -> Option<&Handle> {
        None
    }

    async fn exchange(&self, question: Vec<u8>) -> Vec<u8> {
        let answer = match exchange::decode(&question) {
            Some(Question::Follow { version, .. }) => {
                for _ in 0..20 {
                    if self.version.load(Ordering::SeqCst) > version {
                        break;
                    }
                    time::sleep(Duration::from_millis(20)).await;
                }
                self.update()
            }
            Some(Question::Fetch { .. } | Question::FetchSegment(_)) => {
                let _abandoned = Abandoned(Arc::clone(&self.abandoned));
                self.requested.fetch_add(1, Ordering::SeqCst);
                future::pending().await
            }
            Some(_) | None => Answer::Refused,
        };
        exchange::encode_answer(&answer)
    }
}

/// Address on which the instance at a host of the fleet listens for peers.
fn peers_address(fleet: &fleets::Fleet, host: u8) -> SocketAddr {
    let std::net::IpAddr::V4(address) = fleet.control[0].control().ip() else {
        panic!("the fleet uses IPv4");
    };
    let [a, b, c, _] = address.octets();
    SocketAddr::from(([a, b, c, host], 7_380))
}

#[tokio::test]
async fn a_control_instance_that_sends_no_configuration_does_not_delay_the_others() {
    let fleet = fleets::start("seeded-unresponsive");
    fleet.declare(3).await;
    let standin = Unresponsive::start(peers_address(&fleet, 200)).await;
    standin.introduce(peers_address(&fleet, 1)).await;
    // One of the rounds is enough: the machine may be slow in the others.
    for version in 4..12 {
        let requested = standin.requested.load(Ordering::SeqCst);
        standin.version.store(version, Ordering::SeqCst);
        fleets::until("the configuration is requested", async || {
            standin.requested.load(Ordering::SeqCst) > requested
        })
        .await;
        let abandoned = standin.abandoned.load(Ordering::SeqCst);
        fleet.declare(version).await;
        fleets::until("the version is in force", async || {
            let log = fleet.entries[0].log();
            log.lines().any(|line| {
                line.contains("config_in_force") && line.contains(&format!("version={version}"))
            })
        })
        .await;
        if standin.abandoned.load(Ordering::SeqCst) == abandoned {
            return;
        }
    }
    panic!("each version came into force only after the unanswered request was abandoned");
}

async fn until_in_force(fleet: &fleets::Fleet, version: u64) {
    fleets::until("the version is in force", async || {
        let log = fleet.entries[0].log();
        let line = format!("version={version}");
        log.lines().any(|text| text.contains("config_in_force") && text.contains(&line))
    })
    .await;
}

/// Guards against full links: each change of a large configuration sent all of it to each entry instance.
#[tokio::test]
async fn an_entry_instance_receives_the_difference_to_a_large_configuration() {
    let fleet = fleets::start("seeded-difference");
    fleet.declare_config(&client::large_config(3, 4_560)).await;
    until_in_force(&fleet, 3).await;
    let received = async || {
        let metrics = metrics::read_metrics(fleet.entries[0].readiness()).await;
        metrics.get("daisydrum_config_received_bytes_total").copied()
    };
    let before = received().await;
    fleet.declare_config(&client::large_config(4, 4_561)).await;
    until_in_force(&fleet, 4).await;
    let after = received().await;
    let bytes = after.zip(before).map(|(after, before)| after - before);
    assert!(bytes.is_some_and(|bytes| bytes < 16_384.0), "received {before:?}, then {after:?}");
}

/// Guards against 404 for routes that are there: an instance that knew of a newer version took its own for the newest.
#[tokio::test]
async fn an_instance_that_lacks_the_newest_version_denies_no_request() {
    let fleet = fleets::start("seeded-outdated");
    fleet.declare(3).await;
    until_in_force(&fleet, 3).await;
    let callers = fleet.entries[0].callers();
    let status = async || client::post_plain(callers, "/nothing/", "n1").await.status;
    assert_eq!(status().await, Some(404));
    let standin = Unresponsive::start(peers_address(&fleet, 200)).await;
    standin.introduce(peers_address(&fleet, 1)).await;
    standin.version.store(4, Ordering::SeqCst);
    fleets::until("the configuration is requested", async || {
        standin.requested.load(Ordering::SeqCst) > 0
    })
    .await;
    assert_eq!(status().await, Some(503));
    fleet.declare(4).await;
    until_in_force(&fleet, 4).await;
    assert_eq!(status().await, Some(404));
}
