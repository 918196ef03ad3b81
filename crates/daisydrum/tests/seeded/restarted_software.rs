//! Targets that start again under their names with other software, and haven't announced themselves yet.

use std::{net::SocketAddr, time::Duration};

use platform_standin::{
    client,
    runner::{Options, Run, Runner},
};
use tokio::{net::TcpListener, time};
use yare::parameterized;

use crate::{
    fleet::{self, Daemon, Fleet},
    version_boundary::{LEAST_IN_TEN, STREAMS, id},
};

const ENGINES: usize = 5;
/// Events of a stream; it takes 20 ms for each.
const EVENTS: u64 = 100;
/// Time in which all streams have begun and none has ended.
const BEGINNING: Duration = Duration::from_millis(400);

/// How instances could notice that the first engine has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    /// It refused connections of streams.
    Refused,
    /// Streams on it broke off.
    Broken,
    /// It closed idle connections.
    Closed,
    /// They had no connection to it.
    None,
}

/// Whether the service has engines, which say when they started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Engines,
    Plain,
}

async fn start_fleet(service: Service) -> Fleet {
    let mut fleet = fleet::start("seeded-restarted");
    fleet.add_entry();
    let mut config = client::config(3);
    if service == Service::Plain {
        for service in config["services"].as_array_mut().unwrap() {
            service.as_object_mut().unwrap().remove("engine");
        }
    }
    fleet.declare_config(&config).await;
    fleet
}

fn streams(callers: &[SocketAddr], first: usize) -> Vec<tokio::task::JoinHandle<client::Response>> {
    let stream = |number: usize| {
        let to = callers[number % callers.len()];
        let parts = [0x3000 + number as u64, 0x4000 + number as u64];
        async move {
            // Requests with the same path and body would be blamed together for the end of an engine.
            let path = format!("/summary/{number}");
            client::post_stream_with_parts(to, &path, &id(number), &parts).await
        }
    };
    (first..first + STREAMS).map(|number| tokio::spawn(stream(number))).collect()
}

fn start(name: &str, software: &str, listener: TcpListener, control: Vec<SocketAddr>) -> Runner {
    let announced_address = listener.local_addr().unwrap();
    Runner::start_with(Options {
        name: name.to_owned(),
        service: String::from("engines"),
        stage: None,
        software: software.to_owned(),
        data_centre: String::from("suva"),
        events: EVENTS,
        control,
        listener,
        announced_address,
    })
}

/// Starts a runner in the place of an engine that has ended, with other software; its announcements don't arrive.
async fn succeed(name: &str, address: SocketAddr) -> Runner {
    let nobody = SocketAddr::from(([127, 0, 0, 9], 9));
    start(name, "v2", listen(address).await, vec![nobody])
}

/// Listens at the address of an engine that ends.
async fn listen(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{address} is in use");
}

/// Ends an engine; returns what it ran.
fn end(engine: Runner) -> Vec<Run> {
    let runs = engine.runs();
    drop(engine);
    runs
}

// ORDER: streams went on at a target that had started again under its name with other software, until it announced itself.
#[parameterized(
    it_refused_connections = { Sign::Refused, Service::Engines },
    its_streams_broke_off = { Sign::Broken, Service::Engines },
    it_closed_idle_connections = { Sign::Closed, Service::Engines },
    nobody_was_connected_to_it = { Sign::None, Service::Engines },
    a_plain_one_refused_connections = { Sign::Refused, Service::Plain },
    a_plain_one_closed_idle_connections = { Sign::Closed, Service::Plain },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn streams_go_on_at_no_target_that_has_restarted_and_not_announced_itself(
    sign: Sign,
    service: Service,
) {
    let fleet = start_fleet(service).await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        engines.push(start(&format!("v1-{number}"), "v1", listener, fleet.control_addresses()));
    }
    fleet.until_ready().await;
    fleet::until_known(&fleet, &engines).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let first = engines.remove(0);
    let (name, address) = (first.name.clone(), first.address);
    let (mut ended, mut first_stream) = (Vec::new(), 0);
    let (running, successor) = match sign {
        Sign::Refused => {
            ended.extend(end(first));
            let running = streams(&callers, first_stream);
            time::sleep(BEGINNING).await;
            (running, succeed(&name, address).await)
        }
        Sign::Broken => {
            let running = streams(&callers, first_stream);
            time::sleep(BEGINNING / 2).await;
            ended.extend(end(first));
            time::sleep(BEGINNING / 2).await;
            (running, succeed(&name, address).await)
        }
        Sign::Closed => {
            futures::future::join_all(streams(&callers, first_stream)).await;
            first_stream = STREAMS;
            ended.extend(end(first));
            let successor = succeed(&name, address).await;
            let running = streams(&callers, first_stream);
            time::sleep(BEGINNING).await;
            (running, successor)
        }
        Sign::None => {
            ended.extend(end(first));
            let successor = succeed(&name, address).await;
            let running = streams(&callers, first_stream);
            time::sleep(BEGINNING).await;
            (running, successor)
        }
    };
    // Instances connect to it again.
    time::sleep(2 * BEGINNING).await;
    // Where only those streams show it that go on at the first engine, more of them do.
    let ending = if sign == Sign::None { 2 } else { 1 };
    ended.extend(engines.drain(..ending).flat_map(end));
    let responses = futures::future::join_all(running).await;
    let ran = |runs: &[Run], number: usize| runs.iter().any(|run| run.id == id(number));
    let earlier: Vec<Run> = engines.iter().flat_map(Runner::runs).chain(ended).collect();
    let later = successor.runs();
    let numbers = first_stream..first_stream + STREAMS;
    let mixed = numbers.filter(|number| ran(&earlier, *number) && ran(&later, *number)).count();
    let whole = responses.into_iter().filter(|response| {
        let response = response.as_ref().unwrap();
        response.whole && client::event_ids(&response.body) == (1..=EVENTS).collect::<Vec<_>>()
    });
    let whole = whole.count();
    assert_eq!(mixed, 0, "{whole} of {STREAMS} are whole");
    assert!(10 * whole >= LEAST_IN_TEN * STREAMS, "{whole} of {STREAMS} are whole");
}
