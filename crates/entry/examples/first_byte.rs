//! Measures when the first byte of a streamed response arrives, with `oxhttp` and `hyper` as server and client.
//!
//! Run it with `cargo run --release -p entry --example first_byte`.

use std::{
    convert::Infallible,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use entry::body::Body;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{runtime, time};

const EVENTS: usize = 40;
const GAP: Duration = Duration::from_millis(50);
const EVENT: &[u8] = b"data: {\"choices\":[{\"index\":0,\"text\":\"token\"}]}\n\n";

/// Times from the start of a request to the first and the last byte of its response.
struct Times {
    first: Duration,
    last: Duration,
}

#[allow(clippy::print_stdout, reason = "prints its result")]
fn main() -> io::Result<()> {
    println!("{EVENTS} events of {} bytes, one each {} ms", EVENT.len(), GAP.as_millis());
    let oxhttp = serve_with_oxhttp()?;
    let hyper = serve_with_hyper()?;
    for (name, address) in [("oxhttp", oxhttp), ("hyper", hyper)] {
        report(&format!("server {name}, client a plain socket"), &read_with_socket(address)?);
    }
    report("server hyper, client oxhttp", &read_with_oxhttp(hyper)?);
    Ok(())
}

#[allow(clippy::print_stdout, reason = "prints its result")]
fn report(name: &str, times: &Times) {
    println!(
        "{name}: first byte after {} ms, last after {} ms",
        times.first.as_millis(),
        times.last.as_millis()
    );
}

/// A reader that returns one event after each [`GAP`], for the given number of events.
struct Events(usize);

impl Read for Events {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.0 == 0 {
            return Ok(0);
        }
        self.0 -= 1;
        thread::sleep(GAP);
        buffer[..EVENT.len()].copy_from_slice(EVENT);
        Ok(EVENT.len())
    }
}

fn serve_with_oxhttp() -> io::Result<SocketAddr> {
    let address = free_address()?;
    oxhttp::Server::new(|_request| Response::new(oxhttp::model::Body::from_read(Events(EVENTS))))
        .bind(address)
        .spawn()?;
    Ok(address)
}

fn serve_with_hyper() -> io::Result<SocketAddr> {
    let address = free_address()?;
    let runtime = runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let listener = runtime.block_on(tokio::net::TcpListener::bind(address))?;
    thread::spawn(move || {
        runtime.block_on(async {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(
                    http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service_fn(respond)),
                );
            }
        });
    });
    Ok(address)
}

async fn respond(_request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let (sender, body) = Body::stream(1);
    tokio::spawn(async move {
        for _ in 0..EVENTS {
            time::sleep(GAP).await;
            if sender.send(Bytes::from_static(EVENT)).await.is_err() {
                return;
            }
        }
        sender.finish();
    });
    Ok(Response::new(body))
}

fn read_with_socket(address: SocketAddr) -> io::Result<Times> {
    let mut stream = TcpStream::connect(address)?;
    let start = Instant::now();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: loopback\r\nconnection: close\r\n\r\n")?;
    read_events(stream, start)
}

fn read_with_oxhttp(address: SocketAddr) -> io::Result<Times> {
    let request = Request::get(format!("http://{address}/"))
        .body(oxhttp::model::Body::empty())
        .map_err(io::Error::other)?;
    let start = Instant::now();
    let response = oxhttp::Client::new().request(request)?;
    read_events(response.into_body(), start)
}

/// Reads to the end; the first byte counts as arrived once `data:` has been read, since the head comes before it.
fn read_events(mut input: impl Read, start: Instant) -> io::Result<Times> {
    let mut seen = Vec::new();
    let mut buffer = [0; 4_096];
    let mut first = None;
    loop {
        let length = input.read(&mut buffer)?;
        if length == 0 {
            break;
        }
        seen.extend_from_slice(&buffer[..length]);
        if first.is_none() && seen.windows(5).any(|window| window == b"data:") {
            first = Some(start.elapsed());
        }
    }
    let last = start.elapsed();
    Ok(Times { first: first.unwrap_or(last), last })
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
