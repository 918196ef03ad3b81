//! A small HTTP/1.1 client and the parsing that the runner shares with it.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Length of the body that the head declares.
    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// A response as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The status; 0 if there was no head.
    pub status: u16,
    /// The head.
    pub head: Head,
    /// The body as far as it was received.
    pub body: String,
    /// Whether it is complete.
    pub whole: bool,
    /// Time until its end.
    pub took: Duration,
}

/// Sends a request over a new connection and reads the response, for `limit` at most.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Response {
    let begin = Instant::now();
    let mut response = Response::default();
    // What was received until a failure is in the response.
    let _ended = exchange(address, method, path, headers, body, limit, &mut response);
    response.took = begin.elapsed();
    response
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
    response: &mut Response,
) -> Option<()> {
    let end = Instant::now() + limit;
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit)).ok()?;
    let _ignored = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    stream
        .set_read_timeout(Some(
            end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
        ))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    response.status = head.first.split(' ').nth(1)?.parse().ok()?;
    response.head = head.clone();
    if head.is_chunked() {
        loop {
            reader
                .get_ref()
                .set_read_timeout(Some(
                    end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
                ))
                .ok()?;
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                response.whole = true;
                return Some(());
            }
            response.body.push_str(&String::from_utf8_lossy(&chunk[..size]));
        }
    }
    let mut bytes = vec![0; head.length()];
    reader.read_exact(&mut bytes).ok()?;
    response.body = String::from_utf8_lossy(&bytes).into_owned();
    response.whole = true;
    Some(())
}
