//! A proxy for connections and datagrams that injects network faults between two processes of a test.
//!
//! Bytes held for longer than [`socket::ORDER_USER_TIMEOUT`] are never delivered: their connection is reset when the flow
//! passes again, as the kernel resets one that carries an order.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use common::cancel;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{self, Instant},
};
use wire::socket;

const BUFFER_BYTES: usize = 16 * 1_024;
/// Maximum number of chunks queued in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 1_024;
/// Time that a chunk may wait because the proxy's task is not scheduled.
const SCHEDULING_MARGIN: Duration = Duration::from_secs(1);
/// Longest datagram that is passed on whole.
const MAX_DATAGRAM_BYTES: usize = 64 * 1_024;

/// Whether bytes of one direction are delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They are delivered.
    #[default]
    Pass,
    /// They are held until the flow passes again; neither side sees an error.
    Hold,
}

/// What becomes of datagrams. They are also lost while the flow towards the upstream address is held, and delayed as bytes of
/// connections are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Datagrams {
    /// They are passed on.
    #[default]
    Pass,
    /// They are lost.
    Drop,
    /// They are passed on after this time.
    Delay(Duration),
}

/// The conditions of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// One-way delay.
    pub latency: Duration,
    /// Flow towards the upstream address.
    pub upstream: Flow,
    /// Flow back to the client that connected to the proxy.
    pub downstream: Flow,
    /// Whether new connections are reset at once.
    pub refuses: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Control {
    conditions: Conditions,
    datagrams: Datagrams,
    /// Connections with a lower number deliver nothing any more.
    silent_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
}

/// A proxy in front of one upstream address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    control: Arc<watch::Sender<Control>>,
    opened: watch::Receiver<u64>,
    token: cancel::Token,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it can't listen.
    pub async fn start(upstream: SocketAddr) -> io::Result<Proxy> {
        Proxy::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream).await
    }

    /// Starts a proxy that listens on `listen`, for connections and for datagrams.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it can't listen.
    pub async fn start_on(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let datagrams = UdpSocket::bind(address).await?;
        let (control, conditions) = watch::channel(Control::default());
        let (count, opened) = watch::channel(0);
        let token = cancel::Token::new();
        let pass = pass_datagrams(datagrams, upstream, conditions.clone());
        let accept = accept(listener, upstream, conditions, count);
        let stop = token.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = accept => {}
                () = pass => {}
            }
        });
        Ok(Proxy { address, control: Arc::new(control), opened, token })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Sets the conditions of open and new connections.
    pub fn set(&self, conditions: Conditions) {
        self.control.send_modify(|control| control.conditions = conditions);
    }

    /// Sets what becomes of datagrams, whatever the conditions.
    pub fn set_datagrams(&self, datagrams: Datagrams) {
        self.control.send_modify(|control| control.datagrams = datagrams);
    }

    /// Permanently stops delivery on the open connections without a reset; new ones work.
    pub fn silence_open(&self) {
        let opened = self.opened();
        self.control.send_modify(|control| control.silent_below = opened);
    }

    /// Resets the open connections; new ones work.
    pub fn reset_open(&self) {
        let opened = self.opened();
        self.control.send_modify(|control| control.reset_below = opened);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddr,
    control: watch::Receiver<Control>,
    count: watch::Sender<u64>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let number = *count.borrow();
        count.send_replace(number + 1);
        if control.borrow().conditions.refuses {
            reset(&stream);
            continue;
        }
        tokio::spawn(forward(stream, upstream, control.clone(), number));
    }
}

/// Passes datagrams on, from an address of its own.
async fn pass_datagrams(
    socket: UdpSocket,
    upstream: SocketAddr,
    control: watch::Receiver<Control>,
) {
    let socket = Arc::new(socket);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // A datagram that was sent while nobody listened upstream is reported as an error of the next call.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Control { conditions, datagrams, .. } = *control.borrow();
        let delay = match (conditions.upstream, datagrams) {
            (Flow::Hold, _) | (_, Datagrams::Drop) => continue,
            (Flow::Pass, Datagrams::Pass) => conditions.latency,
            (Flow::Pass, Datagrams::Delay(delay)) => conditions.latency + delay,
        };
        if delay.is_zero() {
            let _ = socket.send_to(&buffer[..length], upstream).await;
        } else {
            let (socket, bytes) = (Arc::clone(&socket), buffer[..length].to_vec());
            tokio::spawn(async move {
                time::sleep(delay).await;
                let _ = socket.send_to(&bytes, upstream).await;
            });
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one connection in both directions until it ends.
async fn forward(
    stream: TcpStream,
    upstream: SocketAddr,
    mut control: watch::Receiver<Control>,
    number: u64,
) {
    let Ok(other) = TcpStream::connect(upstream).await else {
        reset(&stream);
        return;
    };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = other.into_split();
    let connection =
        Connection { control: control.clone(), number, reset_token: cancel::Token::new() };
    let there = pump(near_read, far_write, connection.clone(), |now| now.upstream);
    let back = pump(far_read, near_write, connection.clone(), |now| now.downstream);
    let watch_reset = async {
        if control.wait_for(|now| now.reset_below > number).await.is_ok() {
            connection.reset_token.cancel();
        }
    };
    // The halves are dropped only after both directions have stopped, so that a reset reaches both sides.
    let both = async { tokio::join!(there, back) };
    tokio::pin!(both);
    tokio::select! {
        _ = &mut both => return,
        () = watch_reset => {}
    }
    both.await;
}

/// What both directions of a connection share.
#[derive(Clone)]
struct Connection {
    control: watch::Receiver<Control>,
    number: u64,
    reset_token: cancel::Token,
}

/// Forwards one direction and returns the socket's halves, to be dropped together with the other direction's.
async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    connection: Connection,
    flow: impl Fn(&Conditions) -> Flow,
) -> Halves {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let latencies = connection.control.clone();
    let forward = async {
        tokio::join!(
            receive(&mut read, sender, latencies),
            deliver(&mut write, receiver, &connection, flow)
        )
    };
    tokio::select! {
        _ = forward => Halves { _read: read, _write: Some(write) },
        () = connection.reset_token.cancelled() => {
            let _ = SockRef::from(write.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropping the write half would close the connection in order before the reset is sent.
            write.forget();
            Halves { _read: read, _write: None }
        }
    }
}

struct Halves {
    _read: OwnedReadHalf,
    _write: Option<OwnedWriteHalf>,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

async fn receive(
    read: &mut OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    control: watch::Receiver<Control>,
) {
    loop {
        let mut bytes = vec![0; BUFFER_BYTES];
        let length = read.read(&mut bytes).await.unwrap_or(0);
        bytes.truncate(length);
        let latency = control.borrow().conditions.latency;
        let chunk = Chunk { due: Instant::now() + latency, bytes };
        if sender.send(chunk).await.is_err() || length == 0 {
            return;
        }
    }
}

async fn deliver(
    write: &mut OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    connection: &Connection,
    flow: impl Fn(&Conditions) -> Flow,
) {
    let mut control = connection.control.clone();
    let passes = |now: &Control| {
        flow(&now.conditions) == Flow::Pass && now.silent_below <= connection.number
    };
    while let Some(chunk) = receiver.recv().await {
        time::sleep_until(chunk.due).await;
        if control.wait_for(passes).await.is_err() {
            return;
        }
        if chunk.due.elapsed() > socket::ORDER_USER_TIMEOUT + SCHEDULING_MARGIN {
            connection.reset_token.cancel();
            return;
        }
        if chunk.bytes.is_empty() || write.write_all(&chunk.bytes).await.is_err() {
            let _ = write.shutdown().await;
            return;
        }
    }
}
