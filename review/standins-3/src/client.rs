//! Consumers.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{fleet::HOST_NAME, http};

/// What a consumer received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    pub body: String,
    /// Whether the response ended as complete.
    pub whole: bool,
    pub stamp: String,
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Ids of the events, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let id = |line: &str| line.strip_prefix("id: ")?.trim().parse().ok();
        self.body.lines().filter_map(id).collect()
    }
}

/// Sends a request over a new connection and reads the response, at most until the deadline or a pause of `pause`.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    deadline: Duration,
    pause: Duration,
) -> Answer {
    let mut answer = Answer::default();
    // What was received before the end counts.
    let _ended = exchange(address, method, path, headers, body, deadline, pause, &mut answer);
    answer
}

#[allow(clippy::too_many_arguments)]
fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    deadline: Duration,
    pause: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let end = Instant::now() + deadline;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(pause))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n");
    head.push_str(&format!("X-Deadline-Ms: {}\r\n", deadline.as_millis()));
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    head.push_str(body);
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let message = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = message.status();
    answer.stamp = message.header("x-server-stamp").unwrap_or_default().to_owned();
    answer.retry_after = message
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs_f64);
    match http::framing(&message) {
        http::Framing::Length(length) => {
            let mut bytes = vec![0; length];
            let mut filled = 0;
            while filled < length {
                let read = reader.read(&mut bytes[filled..])?;
                if read == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                answer.body.push_str(&String::from_utf8_lossy(&bytes[filled..filled + read]));
                filled += read;
            }
            answer.whole = true;
        }
        http::Framing::Chunks => loop {
            if Instant::now() > end {
                return Ok(());
            }
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                answer.whole = true;
                return Ok(());
            }
            answer.body.push_str(&String::from_utf8_lossy(&chunk));
        },
        http::Framing::None => {
            let mut bytes = Vec::new();
            reader.read_to_end(&mut bytes)?;
            answer.body = String::from_utf8_lossy(&bytes).into_owned();
            answer.whole = true;
        }
    }
    Ok(())
}
