//! A minimal HTTP/1.1 client and server side on blocking sockets.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a message: its first line, and its fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// The fields.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// A response as far as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// 0 if no head arrived.
    pub status: u16,
    /// The head.
    pub head: Head,
    /// The body as far as it arrived.
    pub body: Vec<u8>,
    /// Whether it is complete.
    pub whole: bool,
}

/// A connection with what was read beyond the last message.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    /// Connects within a time.
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, rest: Vec::new() })
    }

    /// Wraps an accepted socket.
    pub fn accepted(stream: TcpStream) -> Connection {
        Connection { stream, rest: Vec::new() }
    }

    /// Reads more bytes before `until`; 0 at the end of the stream.
    fn fill(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads the head of a message; nothing if the connection ends before its first byte.
    pub fn read_head(&mut self, until: Instant) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, fields }));
            }
            if self.fill(until)? == 0 {
                return if self.rest.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads a body of a known length.
    pub fn read_exact(&mut self, length: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    /// Reads the body of a request by its fields.
    pub fn read_request_body(&mut self, head: &Head, until: Instant) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            let mut body = Vec::new();
            while self.read_chunk(&mut body, until)? {}
            return Ok(body);
        }
        let length = head.field("content-length").and_then(|length| length.parse().ok());
        self.read_exact(length.unwrap_or(0), until)
    }

    /// Appends a chunk; false after the last one.
    fn read_chunk(&mut self, body: &mut Vec<u8>, until: Instant) -> io::Result<bool> {
        let line = loop {
            if let Some(end) = self.rest.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                break line;
            }
            if self.fill(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        };
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        let chunk = self.read_exact(size + 2, until)?;
        body.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }

    /// Sends a request and reads its response before `until`.
    pub fn exchange(&mut self, request: &[u8], until: Instant) -> Response {
        let mut response = Response::default();
        if self.stream.write_all(request).is_err() {
            return response;
        }
        let _failed = self.read_response(&mut response, until);
        response
    }

    /// Reads a response as far as it arrives.
    pub fn read_response(&mut self, response: &mut Response, until: Instant) -> io::Result<()> {
        let head = self.read_head(until)?.ok_or(ErrorKind::UnexpectedEof)?;
        response.status = head.status();
        response.head = head;
        if response.head.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked"))
        {
            while self.read_chunk(&mut response.body, until)? {}
        } else if let Some(length) = response.head.field("content-length") {
            let length = length.parse().unwrap_or(0);
            response.body = self.read_exact(length, until)?;
        } else {
            loop {
                response.body.append(&mut self.rest);
                if self.fill(until)? == 0 {
                    break;
                }
            }
        }
        response.whole = true;
        Ok(())
    }
}

/// Sends a request over a new connection; a response with status 0 if none arrives in time.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Response {
    let until = Instant::now() + limit;
    let Ok(mut connection) = Connection::open(address, limit) else {
        return Response::default();
    };
    connection.exchange(&encode(method, path, &address.to_string(), fields, body), until)
}

/// Encodes a request; a field `Host` among `fields` replaces the default.
pub fn encode(
    method: &str,
    path: &str,
    host: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {host}\r\n");
    }
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}
