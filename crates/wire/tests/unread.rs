//! Callers that take nothing of their responses.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{io::ErrorKind, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{self, Instant},
};
use wire::unread::Stream;

const LIMIT: Duration = Duration::from_millis(1_200);
/// Send buffer in bytes, as the kernel counts it; the kernel reports that it takes more once a third of it is free.
const SEND_BUFFER: usize = 416 * 1024;
const RECEIVE_BUFFER: u32 = 4_096;
/// Response that doesn't fit into the buffers.
static RESPONSE: [u8; 1024 * 1024] = [b'x'; 1024 * 1024];
const PART_BYTES: usize = 4_096;

/// Connects a caller; returns the instance's end and the caller's.
async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpSocket::new_v4().unwrap();
    listener.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = listener.listen(1).unwrap();
    let caller = TcpSocket::new_v4().unwrap();
    caller.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    let caller = caller.connect(listener.local_addr().unwrap()).await.unwrap();
    let (near, _) = listener.accept().await.unwrap();
    // Half of what the kernel counts.
    SockRef::from(&near).set_send_buffer_size(SEND_BUFFER / 2).unwrap();
    (near, caller)
}

#[tokio::test]
async fn a_caller_that_never_reads_is_disconnected_after_the_limit() {
    let (near, _caller) = connect().await;
    let mut stream = Stream::new(near, LIMIT);
    let began = Instant::now();
    let written = time::timeout(Duration::from_secs(20), stream.write_all(&RESPONSE)).await;
    assert_eq!(written.unwrap().unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(began.elapsed() >= LIMIT);
}

#[tokio::test]
async fn a_caller_that_reads_less_than_a_third_of_the_send_buffer_in_the_limit_gets_the_whole_response()
 {
    let (near, mut caller) = connect().await;
    let mut stream = Stream::new(near, LIMIT);
    let writes = stream.write_all(&RESPONSE);
    let pause = LIMIT / u32::try_from(SEND_BUFFER / 4 / PART_BYTES).unwrap();
    let reads = tokio::spawn(async move {
        let mut received = vec![0; RESPONSE.len()];
        for part in received.chunks_mut(PART_BYTES) {
            time::sleep(pause).await;
            caller.read_exact(part).await.unwrap();
        }
        received
    });
    writes.await.unwrap();
    assert!(reads.await.unwrap() == RESPONSE);
}
