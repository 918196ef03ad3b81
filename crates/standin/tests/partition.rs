//! Cuts between a target and some of its sources.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use standin::partition::{Gate, Shape};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};
use yare::parameterized;

const CUT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));
/// How long a connection is checked for bytes that must not be delivered.
const SILENCE: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(20);

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Silent,
    Closed,
    Refused,
}

#[parameterized(
    hang = { Shape::Hang, State::Silent, State::Silent },
    reset = { Shape::Reset, State::Closed, State::Closed },
    refuse = { Shape::Refuse, State::Open, State::Closed },
)]
#[test_macro(tokio::test)]
async fn connections_of_a_source_that_is_cut_off(shape: Shape, open: State, new: State) {
    let gate = Gate::start(echo().await).unwrap();
    for _round in 0..2 {
        let mut cut = connect(&gate, CUT).await.unwrap();
        let mut other = connect(&gate, OTHER).await.unwrap();
        assert_eq!((state(&mut cut).await, state(&mut other).await), (State::Open, State::Open));
        gate.cut(&[CUT], shape);
        // The cut begins once the proxy's task has seen it.
        time::sleep(SILENCE).await;
        assert_eq!((state(&mut cut).await, state(&mut other).await), (open, State::Open));
        assert_eq!(
            (new_state(&gate, CUT).await, new_state(&gate, OTHER).await),
            (new, State::Open)
        );
        gate.heal_all();
        time::sleep(SILENCE).await;
        assert_eq!(new_state(&gate, CUT).await, State::Open);
    }
}

#[parameterized(
    hang = { Shape::Hang, State::Silent, State::Silent },
    reset = { Shape::Reset, State::Closed, State::Refused },
    refuse = { Shape::Refuse, State::Open, State::Refused },
)]
#[test_macro(tokio::test)]
async fn connections_of_all_sources_that_are_cut_off(shape: Shape, open: State, new: State) {
    let gate = Gate::start(echo().await).unwrap();
    let mut stream = connect(&gate, CUT).await.unwrap();
    assert_eq!(state(&mut stream).await, State::Open);
    gate.cut_all(shape);
    time::sleep(SILENCE).await;
    assert_eq!((state(&mut stream).await, new_state(&gate, CUT).await), (open, new));
    gate.heal_all();
    time::sleep(SILENCE).await;
    assert_eq!(new_state(&gate, CUT).await, State::Open);
}

#[tokio::test]
async fn bytes_that_were_in_flight_arrive_after_the_cut() {
    let gate = Gate::start(echo().await).unwrap();
    let mut stream = connect(&gate, CUT).await.unwrap();
    assert_eq!(state(&mut stream).await, State::Open);
    gate.cut(&[CUT], Shape::Hang);
    time::sleep(SILENCE).await;
    assert_eq!(state(&mut stream).await, State::Silent);
    gate.heal_all();
    let read = time::timeout(LIMIT, stream.read(&mut [0; 8])).await.unwrap();
    assert_eq!(read.unwrap(), 4);
}

/// A server that sends back what it receives.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _closed = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn connect(gate: &Gate, source: IpAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(gate.address()).await
}

async fn new_state(gate: &Gate, source: IpAddr) -> State {
    match time::timeout(SILENCE, connect(gate, source)).await {
        Ok(Ok(mut stream)) => state(&mut stream).await,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => State::Refused,
        Ok(Err(_)) => State::Closed,
        Err(_) => State::Silent,
    }
}

async fn state(stream: &mut TcpStream) -> State {
    if stream.write_all(b"text").await.is_err() {
        return State::Closed;
    }
    match time::timeout(SILENCE, stream.read(&mut [0; 8])).await {
        Ok(Ok(4)) => State::Open,
        Ok(_) => State::Closed,
        Err(_) => State::Silent,
    }
}
