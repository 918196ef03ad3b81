//! Datagrams by which entry instances notify the keepers of a cell of the requests they send to its engines, and ask them for
//! the load of these.
//!
//! A lost datagram only makes the estimated load of a target less accurate. What must reach all instances, the prompt
//! parts that end engines and the requests that end targets, is repeated.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{
    clock::{self, Moment},
    collections::Map,
    name,
    random::Random,
};
use fleet::exchange::{self, MAX_SUSPICIONS, Notice};
use gateway::{inquiry, state::Gateway};
use placement::outbox::{Addressed, MAX_NOTICES, Outbox};
use slog::{Logger, debug};
use tokio::{net::UdpSocket, sync::mpsc, time};

use crate::{
    error::Error,
    seeded::{context::Context, directory::Directory, entry::spawn},
};

/// Notices that are taken from the request path at once.
const MAX_BATCH: usize = 64;
/// Time between two rounds that repair lost notices, and the instances that get one in each. Rumours spread to all
/// instances in a number of rounds that is logarithmic in theirs (Demers et al. 1987).
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
const REPAIR_PEERS: usize = 2;
/// Time after the last sign of its build for which an instance counts as one of an earlier build.
const EARLIER_RETENTION: Duration = Duration::from_secs(30);
/// Size of the receive buffer, which holds any datagram. The parts of a prompt take as much as the head of its request.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Starts to receive notices and inquiries, and to send this instance's own.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the UDP address can't be bound.
pub(crate) async fn start(
    context: &Context,
    directory: &Directory,
    gateway: &Arc<Gateway>,
    notices: mpsc::Receiver<Notice>,
    inquiries: mpsc::Receiver<inquiry::Question>,
) -> Result<(), Error> {
    let address = context.settings.peers_listen;
    let socket = UdpSocket::bind(address).await.map_err(|cause| Error::Listen {
        address,
        purpose: "datagrams of other instances",
        cause,
    })?;
    let socket = Arc::new(socket);
    let earlier = Earlier::default();
    spawn(context, receive(Arc::clone(&socket), Arc::clone(gateway), earlier.clone()));
    spawn(
        context,
        repair(Arc::clone(&socket), context.clone(), directory.clone(), Arc::clone(gateway)),
    );
    spawn(context, ask(Arc::clone(&socket), context.clone(), directory.clone(), inquiries));
    let sender = Sender { socket, context: context.clone(), directory: directory.clone(), earlier };
    spawn(context, sender.run(Arc::clone(gateway), notices));
    Ok(())
}

async fn receive(socket: Arc<UdpSocket>, gateway: Arc<Gateway>, earlier: Earlier) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let Some(notices) = exchange::decode::<Vec<Notice>>(&buffer[..length]) else {
                    metrics::counter!("daisydrum_datagrams_not_decoded_total").increment(1);
                    debug!(gateway.log, "datagram_not_decoded"; "from" => %from, "bytes" => length);
                    continue;
                };
                for notice in &notices {
                    match notice {
                        Notice::Inquiry(inquiry) => {
                            let answer = exchange::encode(&vec![gateway.answer_inquiry(inquiry)]);
                            send_to(&socket, &gateway.log, &answer, from);
                        }
                        Notice::Sent(_) => {
                            earlier.record(from);
                            gateway.handle_notice(notice);
                        }
                        other => gateway.handle_notice(other),
                    }
                }
            }
            Err(error) => {
                debug!(gateway.log, "datagram_not_received"; "error" => %error);
                time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Sends the suspicions to a few random instances at an interval, for those that a notice didn't reach.
async fn repair(
    socket: Arc<UdpSocket>,
    context: Context,
    directory: Directory,
    gateway: Arc<Gateway>,
) {
    let mut random = Random::new(clock::unix_ns());
    loop {
        time::sleep(REPAIR_INTERVAL).await;
        let notices = gateway.quarantine.repeated_notices();
        let mut others = directory.entry_instances();
        for _ in 0..REPAIR_PEERS.min(others.len()) {
            let other = others.swap_remove(random.below(others.len()));
            for bytes in datagrams(&notices) {
                if let Err(error) = socket.try_send_to(&bytes, other.address) {
                    debug!(context.log, "datagram_not_sent"; "address" => %other.address,
                        "error" => %error);
                }
            }
        }
    }
}

/// Sends the questions of the request path to keepers of cells.
async fn ask(
    socket: Arc<UdpSocket>,
    context: Context,
    directory: Directory,
    mut inquiries: mpsc::Receiver<inquiry::Question>,
) {
    while let Some(inquiry::Question { keeper, inquiry }) = inquiries.recv().await {
        if let Some(address) = directory.entry_address(&keeper) {
            let question = exchange::encode(&vec![Notice::Inquiry(inquiry)]);
            send_to(&socket, &context.log, &question, address);
        }
    }
}

fn send_to(socket: &UdpSocket, log: &Logger, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, address) {
        debug!(log, "datagram_not_sent"; "address" => %address, "error" => %error);
    }
}

/// Instances of earlier builds, which notify all others of load and expect the same of them.
#[derive(Clone, Debug, Default)]
struct Earlier {
    heard: Arc<Mutex<Map<SocketAddr, Moment>>>,
}

impl Earlier {
    /// Records that an instance has sent what only earlier builds send.
    fn record(&self, address: SocketAddr) {
        self.lock().insert(address, Moment::now());
    }

    /// Their addresses.
    fn addresses(&self) -> Vec<SocketAddr> {
        let now = Moment::now();
        let mut heard = self.lock();
        heard.retain(|_, at| now.since(*at) < EARLIER_RETENTION);
        heard.keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Moment>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends notices to other entry instances; see [`placement::outbox`].
struct Sender {
    socket: Arc<UdpSocket>,
    context: Context,
    directory: Directory,
    earlier: Earlier,
}

impl Sender {
    async fn run(self, gateway: Arc<Gateway>, mut notices: mpsc::Receiver<Notice>) {
        let mut outbox = Outbox::default();
        let mut batch = Vec::new();
        loop {
            let until_due = outbox.until_due(Moment::now());
            tokio::select! {
                received = notices.recv_many(&mut batch, MAX_BATCH) => {
                    if received == 0 {
                        return;
                    }
                    let urgent = outbox.add(batch.drain(..));
                    if !urgent.is_empty() {
                        outbox.pay(self.send_to_all(&urgent), Moment::now());
                    }
                }
                () = time::sleep(until_due.unwrap_or_default()), if until_due.is_some() => {
                    let due = outbox.take();
                    outbox.pay(self.send_to_keepers(&gateway, due), Moment::now());
                    metrics::gauge!("daisydrum_notices_dropped").set(outbox.dropped() as f64);
                }
            }
        }
    }

    /// Sends notices to all other entry instances; returns the number of datagrams.
    fn send_to_all(&self, notices: &[Notice]) -> usize {
        let others = self.directory.entry_instances();
        let addresses: Vec<SocketAddr> = others.iter().map(|other| other.address).collect();
        self.send(&datagrams(notices), &addresses)
    }

    /// Sends notices of load to the keepers of the cells that they concern, and to instances of earlier builds; returns the
    /// number of datagrams.
    fn send_to_keepers(&self, gateway: &Gateway, notices: Vec<Addressed>) -> usize {
        let earlier = self.earlier.addresses();
        let mut sent = 0;
        if !earlier.is_empty() {
            let notices: Vec<Notice> = notices
                .iter()
                .flat_map(|addressed| addressed.notice.for_earlier_builds())
                .collect();
            sent += self.send(&datagrams(&notices), &earlier);
        }
        let mut groups: Map<Vec<name::Instance>, Vec<Notice>> = Map::default();
        let now = Moment::now();
        for Addressed { targets, notice } in notices {
            let keepers = gateway.balancer().keepers(&targets, now);
            groups.entry(keepers).or_default().push(notice);
        }
        for (keepers, notices) in groups {
            let addresses: Vec<SocketAddr> = keepers
                .iter()
                .filter_map(|keeper| self.directory.entry_address(keeper))
                .filter(|address| !earlier.contains(address))
                .collect();
            let batches = notices.chunks(MAX_NOTICES).map(|batch| exchange::encode(&batch));
            sent += self.send(&batches.collect::<Vec<Vec<u8>>>(), &addresses);
        }
        sent
    }

    fn send(&self, datagrams: &[Vec<u8>], addresses: &[SocketAddr]) -> usize {
        for address in addresses {
            for bytes in datagrams {
                send_to(&self.socket, &self.context.log, bytes, *address);
            }
        }
        datagrams.len() * addresses.len()
    }
}

/// Encodes notices; those that instances of earlier builds can't decode, in datagrams of their own, which these drop.
fn datagrams(notices: &[Notice]) -> Vec<Vec<u8>> {
    let mut earlier = Vec::new();
    let mut recent = Vec::new();
    let mut crashes = Vec::new();
    let mut reaches = Vec::new();
    for notice in notices {
        match notice {
            Notice::Crashes(states) => crashes.extend_from_slice(states),
            Notice::Reach(_) => reaches.push(exchange::encode(&[notice].as_slice())),
            other if other.is_recent() => recent.push(other),
            other => earlier.push(other),
        }
    }
    let batches = earlier.chunks(MAX_NOTICES).chain(recent.chunks(MAX_NOTICES));
    let batches = batches.map(|batch| exchange::encode(&batch));
    let crashes = crashes
        .chunks(MAX_SUSPICIONS)
        .map(|states| exchange::encode(&vec![Notice::Crashes(states.to_vec())]));
    batches.chain(crashes).chain(reaches).collect()
}
