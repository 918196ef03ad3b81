//! A TCP proxy in front of one target that cuts it off from some sources, while others reach it.
//!
//! Packets of a connection that hangs are dropped by a socket filter, so that its bytes and a new connection's first packet
//! are sent again by the operating system, as in a real network: those in flight arrive late once the cut is healed.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use common::cancel;
use socket2::{SockFilter, SockRef, Socket};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

const BUFFER_BYTES: usize = 16 * 1_024;
/// Maximum number of connections that wait to be accepted.
const MAX_WAITING: u32 = 1_024;
/// Instructions of a socket filter: `BPF_LD | BPF_W | BPF_ABS`, `BPF_JMP | BPF_JEQ | BPF_K` and `BPF_RET | BPF_K`.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// Offset of the source address in an IPv4 header, from the start of the header (`SKF_NET_OFF`).
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;

/// What becomes of connections from a source that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Open ones carry nothing, and new ones are not established; nobody sees an error.
    Hang,
    /// Open ones are reset, and so are new ones.
    Reset,
    /// Open ones go on; new ones are reset.
    Refuse,
}

#[derive(Clone, Debug, Default)]
struct Cuts {
    sources: BTreeMap<IpAddr, Shape>,
    /// Of all sources that are not in `sources`.
    others: Option<Shape>,
}

impl Cuts {
    fn shape(&self, source: IpAddr) -> Option<Shape> {
        self.sources.get(&source).copied().or(self.others)
    }
}

/// A proxy in front of one target; dropping it closes all connections.
#[derive(Debug)]
pub struct Gate {
    address: SocketAddr,
    cuts: watch::Sender<Cuts>,
    token: cancel::Token,
    /// Bound to the address while nobody listens there, so that the system gives the port to nobody else.
    _reserved: TcpSocket,
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

impl Gate {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it can't listen.
    pub fn start(target: SocketAddr) -> io::Result<Gate> {
        let reserved = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = reserved.local_addr()?;
        let listener = listen(address)?;
        let cuts = watch::Sender::new(Cuts::default());
        let token = cancel::Token::new();
        let (accept, stop) = (accept(listener, address, target, cuts.subscribe()), token.clone());
        tokio::spawn(async move { stop.run_until_cancelled(accept).await });
        Ok(Gate { address, cuts, token, _reserved: reserved })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the target off from these sources.
    pub fn cut(&self, sources: &[IpAddr], shape: Shape) {
        let cut = sources.iter().map(|source| (*source, shape));
        self.cuts.send_modify(|cuts| cuts.sources.extend(cut));
    }

    /// Cuts the target off from all sources. New connections are refused, not reset, unless they hang.
    pub fn cut_all(&self, shape: Shape) {
        self.cuts.send_modify(|cuts| cuts.others = Some(shape));
    }

    /// Ends the cuts from these sources.
    pub fn heal(&self, sources: &[IpAddr]) {
        self.cuts.send_modify(|cuts| cuts.sources.retain(|source, _| !sources.contains(source)));
    }

    /// Ends all cuts.
    pub fn heal_all(&self) {
        self.cuts.send_replace(Cuts::default());
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address)?.listen(MAX_WAITING)
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections, unless all are refused.
async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut cuts: watch::Receiver<Cuts>,
) {
    let connections = cuts.clone();
    let mut listener = Some(listener);
    loop {
        let now = cuts.borrow_and_update().clone();
        if matches!(now.others, Some(Shape::Reset | Shape::Refuse)) {
            listener = None;
        } else {
            let open =
                listener.take().unwrap_or_else(|| listen(address).expect("the address is free"));
            drop_packets(&SockRef::from(&open), &now).expect("the system has socket filters");
            listener = Some(open);
        }
        let forward_each = async {
            let Some(listener) = &listener else {
                return std::future::pending().await;
            };
            loop {
                if let Ok((near, source)) = listener.accept().await {
                    tokio::spawn(forward(near, source.ip(), target, connections.clone()));
                }
            }
        };
        tokio::select! {
            changed = cuts.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = forward_each => {}
        }
    }
}

/// Has a socket drop the packets from sources whose connections hang.
fn drop_packets(socket: &Socket, cuts: &Cuts) -> io::Result<()> {
    let hanging: Vec<u32> = cuts
        .sources
        .iter()
        .filter(|(_, shape)| **shape == Shape::Hang)
        .filter_map(|(source, _)| match source {
            IpAddr::V4(source) => Some(u32::from(*source)),
            IpAddr::V6(_) => None,
        })
        .collect();
    if cuts.others == Some(Shape::Hang) {
        return socket.attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]);
    }
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for (index, source) in hanging.iter().enumerate() {
        let skipped = u8::try_from(hanging.len() - index).expect("at most 255 sources");
        filter.push(SockFilter::new(JUMP_IF_EQUAL, skipped, 0, *source));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter.push(SockFilter::new(RETURN, 0, 0, 0));
    socket.attach_filter(&filter)
}

/// Forwards one connection in both directions until it ends or is reset.
async fn forward(
    mut near: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    cuts: watch::Receiver<Cuts>,
) {
    let shape = cuts.borrow().shape(source);
    let linger = |stream: &TcpStream| SockRef::from(stream).set_linger(Some(Duration::ZERO));
    if matches!(shape, Some(Shape::Reset | Shape::Refuse)) {
        let _closed = linger(&near);
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        let _closed = linger(&near);
        return;
    };
    let _closed = (near.set_nodelay(true), far.set_nodelay(true));
    let Ok(socket) = SockRef::from(&near).try_clone() else {
        return;
    };
    let reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = pump(far_write, near_read, None);
        let back = pump(near_write, far_read, Some(Link { source, cuts: cuts.clone() }));
        tokio::select! {
            ended = async { tokio::try_join!(there, back) } => ended.is_err(),
            () = until_reset(&socket, source, cuts.clone()) => true,
        }
    };
    if reset {
        let _closed = (linger(&near), linger(&far));
    }
}

/// Lets a socket drop its packets while its connection hangs, until the connection is to be reset.
async fn until_reset(socket: &Socket, source: IpAddr, mut cuts: watch::Receiver<Cuts>) {
    loop {
        let shape = cuts.borrow_and_update().shape(source);
        if shape == Some(Shape::Reset) {
            return;
        }
        let others = shape.filter(|shape| *shape == Shape::Hang);
        // A connection that has ended needs no filter.
        let _ended = drop_packets(socket, &Cuts { others, ..Cuts::default() });
        if cuts.changed().await.is_err() {
            return;
        }
    }
}

/// The way from a target to a source.
struct Link {
    source: IpAddr,
    cuts: watch::Receiver<Cuts>,
}

impl Link {
    /// Waits while connections hang.
    async fn until_passable(&mut self) {
        let source = self.source;
        let _gone = self.cuts.wait_for(|cuts| cuts.shape(source) != Some(Shape::Hang)).await;
    }
}

/// Forwards one direction until it ends, each part once its link doesn't hang.
async fn pump(
    mut write: impl AsyncWrite + Unpin,
    mut read: impl AsyncRead + Unpin,
    mut link: Option<Link>,
) -> io::Result<()> {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let length = read.read(&mut bytes).await?;
        if let Some(link) = &mut link {
            link.until_passable().await;
        }
        if length == 0 {
            return write.shutdown().await;
        }
        write.write_all(&bytes[..length]).await?;
    }
}
