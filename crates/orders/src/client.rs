//! HTTP client for engines: reads their state, and sends orders only while the lease is valid.
//!
//! Each call has a connection of its own with `TCP_USER_TIMEOUT`, so that the kernel drops an order that is still in
//! its send buffer when a network partition begins, rather than delivering it afterwards.

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

/// Longest time of one call, including its connection.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes of an engine's answer.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Most calls that wait for a worker, and most responses that wait for the executor.
pub const QUEUE_CAPACITY: usize = 256;

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The engine.
    pub target: name::Target,
    /// Where it accepts calls.
    pub address: SocketAddr,
    /// What to ask of it.
    pub operation: Operation,
    /// The epoch in which the call is made; the response carries it back.
    pub epoch: u64,
}

/// What to ask of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// To report its state.
    Read,
    /// To carry out an order.
    Send(Order),
}

/// The result of a call.
#[derive(Debug)]
pub struct Response {
    /// The engine.
    pub target: name::Target,
    /// Its answer, or why there is none.
    pub result: Result<Answer, Error>,
    /// The epoch in which the call was made.
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

/// Why a call got no answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The lease ended before the order was completely written.
    #[display("the lease ended before the order was written")]
    #[from(skip)]
    NoLease,
    /// The engine can't be connected to.
    #[display("can't connect to the engine: {_0}")]
    Connection(io::Error),
    /// The HTTP exchange failed; an order may have arrived.
    #[display("the HTTP exchange with the engine failed: {_0}")]
    Exchange(hyper::Error),
    /// The body of the answer can't be read, or is larger than `MAX_ANSWER_BYTES`.
    #[display(
        "the engine's answer can't be read, or is larger than {MAX_ANSWER_BYTES} bytes: {_0}"
    )]
    Body(#[error(not(source))] Box<dyn std::error::Error + Send + Sync>),
    /// The answer can't be decoded, or the order can't be encoded.
    #[display("the JSON of the order or of the engine's answer is invalid: {_0}")]
    Json(serde_json::Error),
    /// The call took longer than [`CALL_TIMEOUT`] or was cancelled; an order may have arrived.
    #[display("no answer within {CALL_TIMEOUT:?}, or the process is stopping")]
    #[from(skip)]
    Timeout,
}

/// The worker threads and their queues.
#[derive(Debug)]
pub struct Workers {
    /// Accepts calls to make.
    pub calls: Sender<Call>,
    /// Gives their results.
    pub responses: Receiver<Response>,
    /// The threads, which end once `calls` is dropped.
    pub threads: Vec<thread::JoinHandle<()>>,
}

/// Starts `count` worker threads.
///
/// # Errors
///
/// Returns the operating system's error if a thread or its runtime can't be created.
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

/// Makes one call. An order is written only while `lease` is valid and has the order's fencing token.
///
/// # Errors
///
/// Returns an [`enum@Error`] if there is no answer.
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
    socket::configure(&stream, socket::Kind::Order)?;
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
