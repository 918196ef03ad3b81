//! Calls to engines: reads of their state, and orders written only while the lease is valid.
//!
//! Each call has a connection of its own with `TCP_USER_TIMEOUT`, so that an order which the kernel still holds
//! when a partition begins is dropped instead of being delivered after it.

mod guard;

use std::{io, net::SocketAddr, thread, time::Duration};

use bytes::Bytes;
use common::{
    cancel, name,
    ring::{self, Receiver, Sender},
};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, client::conn::http1, header};
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, runtime, time};
use wire::{
    socket,
    target::{ORDERS_PATH, Order, Reply, STATE_PATH, State},
};

use crate::{client::guard::Guard, lease};

/// Longest time of one call, its connection included.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Calls that wait for a worker or whose responses wait for the executor.
pub const QUEUE_CAPACITY: usize = 256;

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The engine.
    pub target: name::Target,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// What to ask.
    pub operation: Operation,
    /// The asker's epoch, which the response carries back.
    pub epoch: u64,
}

/// What to ask of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Its state.
    Read,
    /// To carry out an order.
    Send(Order),
}

/// What came of a call.
#[derive(Debug)]
pub struct Response {
    /// The engine.
    pub target: name::Target,
    /// Its answer.
    pub result: Result<Answer, Error>,
    /// The epoch that it was asked in.
    pub epoch: u64,
}

/// An engine's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Its state.
    State(Box<State>),
    /// Its reply to an order.
    Reply(Reply),
}

/// Why there is no answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The lease ended before a byte of the order was written.
    #[display("lease ended before the order was written")]
    #[from(skip)]
    NoLease,
    /// The connection failed.
    #[display("connection: {_0}")]
    Connection(io::Error),
    /// The exchange failed; an order may have arrived.
    #[display("exchange: {_0}")]
    Exchange(hyper::Error),
    /// The body failed or was too large.
    #[display("body: {_0}")]
    Body(#[error(not(source))] Box<dyn std::error::Error + Send + Sync>),
    /// The answer doesn't have the expected form.
    #[display("answer: {_0}")]
    Json(serde_json::Error),
    /// The call took too long; an order may have arrived.
    #[display("no answer within the limit")]
    #[from(skip)]
    Timeout,
}

/// The workers' rings.
#[derive(Debug)]
pub struct Workers {
    /// Takes calls to make.
    pub calls: Sender<Call>,
    /// Gives what came of them.
    pub responses: Receiver<Response>,
    /// The threads, which end once `calls` is dropped.
    pub threads: Vec<thread::JoinHandle<()>>,
}

/// Starts `count` worker threads.
///
/// # Errors
///
/// Returns the operating system's error when a thread or its runtime can't be made.
pub fn start(count: usize, lease: &lease::Cell, token: &cancel::Token) -> io::Result<Workers> {
    let (calls, inbox) = ring::bounded(QUEUE_CAPACITY);
    let (outbox, responses) = ring::bounded(QUEUE_CAPACITY);
    let mut threads = Vec::new();
    for number in 0..count {
        let worker = Worker {
            lease: lease.clone(),
            inbox: inbox.clone(),
            outbox: outbox.clone(),
            token: token.clone(),
        };
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let name = format!("orders-client-{number}");
        threads.push(thread::Builder::new().name(name).spawn(move || worker.run(&runtime))?);
    }
    Ok(Workers { calls, responses, threads })
}

struct Worker {
    lease: lease::Cell,
    inbox: Receiver<Call>,
    outbox: Sender<Response>,
    token: cancel::Token,
}

impl Worker {
    fn run(&self, runtime: &runtime::Runtime) {
        while let Ok(next) = self.inbox.recv() {
            let result = runtime.block_on(async {
                tokio::select! {
                    result = time::timeout(CALL_TIMEOUT, call(&self.lease, &next)) => {
                        result.unwrap_or(Err(Error::Timeout))
                    }
                    () = self.token.cancelled() => Err(Error::Timeout),
                }
            });
            let response = Response { target: next.target, result, epoch: next.epoch };
            if self.outbox.send(response).is_err() {
                return;
            }
        }
    }
}

/// Makes one call; an order is written only while `lease` is valid and has its fencing number.
///
/// # Errors
///
/// Returns the [`Error`] when there is no answer.
pub async fn call(lease: &lease::Cell, call: &Call) -> Result<Answer, Error> {
    match &call.operation {
        Operation::Read => {
            let request = request(call, Method::GET, STATE_PATH, Bytes::new());
            let state = exchange(call.address, request, Guard::unrestricted()).await?;
            Ok(Answer::State(Box::new(state)))
        }
        Operation::Send(order) => {
            let guard = Guard::for_lease(lease.clone(), order.fencing);
            let body = Bytes::from(serde_json::to_vec(order)?);
            let request = request(call, Method::POST, ORDERS_PATH, body);
            let result = exchange(call.address, request, guard.clone()).await;
            match result {
                Err(_) if guard.has_blocked() => Err(Error::NoLease),
                result => result.map(Answer::Reply),
            }
        }
    }
}

fn request(call: &Call, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, call.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(body))
        .expect("invariant: paths and addresses make valid requests")
}

async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    guard: Guard,
) -> Result<T, Error> {
    let stream = TcpStream::connect(address).await?;
    socket::configure(&stream)?;
    let (mut sender, connection) = http1::handshake(guard.wrap(stream)).await?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    };
    tokio::pin!(connection);
    tokio::pin!(answer);
    tokio::select! {
        result = &mut answer => result,
        result = &mut connection => {
            result?;
            answer.await
        }
    }
}
