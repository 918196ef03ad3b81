//! Callers that take nothing of their responses.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{io::ErrorKind, time::Duration};

use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    time::{self, Instant},
};
use wire::unread::Stream;

const LIMIT: Duration = Duration::from_millis(600);
const RESPONSE: [u8; 64] = [b'x'; 64];

#[tokio::test]
async fn a_caller_that_never_reads_is_disconnected_after_the_limit() {
    let (near, _far) = io::duplex(16);
    let mut stream = Stream::new(near, LIMIT);
    let began = Instant::now();
    let written = time::timeout(Duration::from_secs(20), stream.write_all(&RESPONSE)).await;
    assert_eq!(written.unwrap().unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(began.elapsed() >= LIMIT);
}

#[tokio::test]
async fn a_caller_that_reads_slowly_gets_the_whole_response() {
    let (near, mut far) = io::duplex(16);
    let mut stream = Stream::new(near, LIMIT);
    let writes = stream.write_all(&RESPONSE);
    let reads = async {
        let mut received = [0; 64];
        for part in received.chunks_mut(8) {
            time::sleep(LIMIT / 4).await;
            far.read_exact(part).await.unwrap();
        }
        received
    };
    let (written, received) = tokio::join!(writes, reads);
    written.unwrap();
    assert_eq!(received, RESPONSE);
}
