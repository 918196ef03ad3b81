//! Connections to targets that are given up.

use std::time::Duration;

use bytes::Bytes;
use entry::connection::Connection;
use http_body_util::Full;
use hyper::Request;
use tokio::{io::AsyncReadExt, net::TcpSocket, time};

const BODY_BYTES: usize = 1024 * 1024;

#[tokio::test]
async fn a_request_that_is_given_up_is_not_delivered_once_its_target_reads_on() {
    let socket = TcpSocket::new_v4().expect("a socket is free");
    socket.set_recv_buffer_size(4_096).expect("the size is valid");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let listener = socket.listen(1).expect("the socket is bound");
    let mut connection = Connection::open(address).await.expect("the target listens");
    let (mut target, _) = listener.accept().await.expect("a connection waits");
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let request = Request::post("/").header("host", "t").body(body).expect("the request is valid");
    let sent = time::timeout(Duration::from_millis(500), connection.send(request)).await;
    assert!(sent.is_err(), "the target has responded");
    drop(connection);
    time::sleep(Duration::from_millis(200)).await;
    let mut received = Vec::new();
    let ended = time::timeout(Duration::from_secs(20), target.read_to_end(&mut received)).await;
    assert!(ended.is_ok(), "the connection is open");
    assert!(received.len() < BODY_BYTES, "the target got {} bytes", received.len());
}
