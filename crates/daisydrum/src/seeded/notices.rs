//! Datagrams by which entry instances notify each other of the requests they send to each target.
//!
//! A lost datagram only makes the estimated load of a target less accurate.

use std::{net::SocketAddr, sync::Arc};

use fleet::exchange::{self, Notice};
use gateway::state::Gateway;
use slog::debug;
use tokio::{net::UdpSocket, sync::mpsc};

use crate::{
    error::Error,
    seeded::{context::Context, directory::Directory, entry::spawn},
};

/// Notices in one datagram, so that it fits into a packet of the usual size.
const MAX_NOTICES: usize = 10;
/// Size of the receive buffer; longer datagrams are truncated and fail to decode.
const MAX_DATAGRAM_BYTES: usize = 4 * 1024;

/// Starts to receive notices and to send this instance's own to all other entry instances.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the UDP address can't be bound.
pub(crate) async fn start(
    context: &Context,
    directory: &Directory,
    gateway: &Arc<Gateway>,
    notices: mpsc::Receiver<Notice>,
) -> Result<(), Error> {
    let address = context.settings.peers_listen;
    let socket = UdpSocket::bind(address).await.map_err(|cause| Error::Listen {
        address,
        purpose: "datagrams of other instances",
        cause,
    })?;
    let socket = Arc::new(socket);
    spawn(context, receive(Arc::clone(&socket), Arc::clone(gateway)));
    spawn(context, broadcast(socket, context.clone(), directory.clone(), notices));
    Ok(())
}

async fn receive(socket: Arc<UdpSocket>, gateway: Arc<Gateway>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _from)) => {
                let notices: Option<Vec<Notice>> = exchange::decode(&buffer[..length]);
                for notice in notices.unwrap_or_default() {
                    gateway.handle_notice(&notice);
                }
            }
            Err(error) => {
                debug!(gateway.log, "datagram_not_received"; "error" => %error);
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn broadcast(
    socket: Arc<UdpSocket>,
    context: Context,
    directory: Directory,
    mut notices: mpsc::Receiver<Notice>,
) {
    let mut batch = Vec::new();
    while notices.recv_many(&mut batch, MAX_NOTICES).await > 0 {
        let bytes = exchange::encode(&batch);
        batch.clear();
        let addresses: Vec<SocketAddr> =
            directory.entry_instances().into_iter().map(|identity| identity.address).collect();
        for address in addresses {
            if let Err(error) = socket.try_send_to(&bytes, address) {
                debug!(context.log, "datagram_not_sent"; "address" => %address, "error" => %error);
            }
        }
    }
}
