//! A runner in a process of its own, as the operators' pages describe it.
//!
//! Its arguments are `key=value`. It writes what it runs to a file, one line for each.

use std::{
    collections::HashMap,
    fs::{File, OpenOptions},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message};

struct Runner {
    id: String,
    service: String,
    version: String,
    zone: String,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    stage: Mutex<Option<String>>,
    born: u64,
    beat_ms: u64,
    events: u64,
    event_ms: u64,
    work_ms: u64,
    /// Requests that it runs at once.
    slots: u64,
    /// Requests that wait for a slot.
    queue: u64,
    sequence: AtomicU64,
    orders: AtomicU64,
    busy: AtomicBool,
    /// It leaves: it says so once, goes on serving and announces itself no more.
    leaving: AtomicBool,
    running: AtomicU64,
    /// Requests at work.
    working: Mutex<u64>,
    ended: Condvar,
    record: Mutex<File>,
}

pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

pub fn run(arguments: &HashMap<String, String>) -> io::Result<()> {
    let text = |name: &str| arguments.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let address: SocketAddr = text("address").parse().map_err(io::Error::other)?;
    let stage = Some(text("stage")).filter(|stage| !stage.is_empty());
    let record = OpenOptions::new().create(true).append(true).open(text("record"))?;
    let listener = listen(address)?;
    let runner = Arc::new(Runner {
        id: text("id"),
        service: text("service"),
        version: text("version"),
        zone: text("zone"),
        address,
        control: text("control").split(',').filter_map(|part| part.parse().ok()).collect(),
        stage: Mutex::new(stage),
        born: unix_ms(),
        beat_ms: number("beat_ms").max(100),
        events: number("events"),
        event_ms: number("event_ms"),
        work_ms: number("work_ms"),
        slots: number("slots").max(1),
        queue: number("queue"),
        sequence: AtomicU64::new(0),
        orders: AtomicU64::new(0),
        busy: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        running: AtomicU64::new(0),
        working: Mutex::new(0),
        ended: Condvar::new(),
        record: Mutex::new(record),
    });
    runner.note(&format!("start born={}", runner.born));
    let late = Duration::from_millis(number("late_ms"));
    let beating = Arc::clone(&runner);
    thread::spawn(move || beating.beat(late));
    for stream in listener.incoming() {
        let runner = Arc::clone(&runner);
        let stream = stream?;
        thread::spawn(move || {
            // The caller has gone, or sent no request.
            let _ended = runner.serve(stream);
        });
    }
    Ok(())
}

/// Listens as soon as the process before has left the address.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return Ok(listener);
        }
        thread::sleep(Duration::from_millis(10));
    }
    TcpListener::bind(address)
}

impl Runner {
    fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap();
        let line = format!("{} runner {} {} {line}\n", unix_ms(), self.id, self.version);
        record.write_all(line.as_bytes()).unwrap();
    }

    /// Announces the runner to the daemons in turn; the first ping of all arrives late by `late`.
    fn beat(&self, late: Duration) {
        thread::sleep(late);
        let limit = Duration::from_secs(1);
        let mut next = 0;
        while !self.leaving.load(Ordering::Relaxed) {
            let stage = self.stage.lock().unwrap().clone();
            let stage = stage.map_or(String::new(), |stage| {
                format!(
                    ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
                )
            });
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{}{stage}}}",
                self.service,
                self.address,
                self.zone,
                self.version,
                self.slots,
                self.sequence.fetch_add(1, Ordering::Relaxed),
                self.born
            );
            let path = format!("/-/instances/{}", self.id);
            for _ in 0..self.control.len() {
                let to = self.control[next % self.control.len()];
                next += 1;
                let answer = http::call(to, "PUT", &path, &body, limit);
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(self.beat_ms));
        }
    }

    /// Says that it leaves, until a daemon acknowledges it.
    fn leave(&self) -> bool {
        self.leaving.store(true, Ordering::Relaxed);
        let path = format!("/-/instances/{}", self.id);
        let limit = Duration::from_secs(1);
        let acknowledged = self.control.iter().any(|to| {
            let answer = http::call(*to, "DELETE", &path, "", limit);
            answer.is_ok_and(|answer| answer.status() / 100 == 2)
        });
        self.note(&format!("leaves, acknowledged {acknowledged}"));
        acknowledged
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = http::read_request(&mut reader)? {
            self.answer(&mut stream, &request)?;
        }
        Ok(())
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return respond(stream, "421 Misdirected Request", &[("X-Not-Run", "1")], "");
        }
        let path = request.path().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/-/report") => {
                let stage = self.stage.lock().unwrap().clone().unwrap_or_default();
                let body = format!(
                    "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":{},\"sequence\":{},\"queued\":0,\"running\":{},\"kv_used\":0,\
                     \"kv_total\":500000,\"handles\":0,\"born\":{}}}",
                    self.busy.load(Ordering::Relaxed),
                    self.orders.load(Ordering::Relaxed),
                    self.running.load(Ordering::Relaxed),
                    self.born
                );
                respond(stream, "200 OK", &[("Content-Type", "application/json")], &body)
            }
            ("GET", "/-/kv-list") => {
                let body = format!("{{\"epoch\":\"{}\",\"next\":0,\"held\":[]}}", self.born);
                respond(stream, "200 OK", &[("Content-Type", "application/json")], &body)
            }
            ("GET", "/health") => respond(stream, "200 OK", &[("X-Instance-Id", &self.id)], ""),
            ("POST", "/script/leave") => {
                let status = if self.leave() { "200 OK" } else { "500 Internal Server Error" };
                respond(stream, status, &[], "")
            }
            ("POST", "/-/order") => self.take_order(stream, request),
            ("DELETE", _) => respond(stream, "200 OK", &[], ""),
            _ => self.run(stream, request),
        }
    }

    fn take_order(self: &Arc<Self>, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.note(&format!("order {body}"));
        let revision = format!("\"expected_revision\":{}", self.orders.load(Ordering::Relaxed));
        let differs = body.contains("expected_revision") && !body.contains(&revision);
        if differs || self.busy.swap(true, Ordering::Relaxed) {
            return respond(stream, "409 Conflict", &[], "");
        }
        self.orders.fetch_add(1, Ordering::Relaxed);
        let stage = if body.contains("\"stage\":\"prefill\"") { "prefill" } else { "decode" };
        let runner = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            *runner.stage.lock().unwrap() = Some(stage.to_owned());
            runner.busy.store(false, Ordering::Relaxed);
        });
        respond(stream, "202 Accepted", &[], "")
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            return respond(stream, "400 Bad Request", &[("X-Not-Run", "1")], "");
        };
        let not_run = [("X-Not-Run", "1"), ("X-Request-Id", id.as_str())];
        if self.busy.load(Ordering::Relaxed) {
            return respond(stream, "503 Service Unavailable", &not_run, "");
        }
        let stage = self.stage.lock().unwrap().clone();
        let prefills = request.header("x-serving-stage") == Some("prefill");
        if stage.as_deref().is_some_and(|stage| (stage == "prefill") != prefills) {
            return respond(stream, "421 Misdirected Request", &not_run, "");
        }
        if prefills {
            thread::sleep(Duration::from_millis(20));
            self.note(&format!("prefill {id}"));
            let body = format!("{{\"handle\":\"{:x}\",\"tokens\":1000,\"version\":1}}", unix_ms());
            let headers = [("Content-Type", "application/json"), ("X-Request-Id", id.as_str())];
            return respond(stream, "200 OK", &headers, &body);
        }
        let after: u64 =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        self.note(&format!("run {id} after={after} {}", request.start));
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots + self.queue {
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.note(&format!("full {id}"));
            return respond(stream, "503 Service Unavailable", &not_run, "");
        }
        let mut working = self.working.lock().unwrap();
        while *working >= self.slots {
            working = self.ended.wait(working).unwrap();
        }
        *working += 1;
        drop(working);
        let ended = self.work(stream, &id, after);
        *self.working.lock().unwrap() -= 1;
        self.ended.notify_one();
        self.running.fetch_sub(1, Ordering::Relaxed);
        ended
    }

    fn work(&self, stream: &mut TcpStream, id: &str, after: u64) -> io::Result<()> {
        let stamp = format!("{}.{}.{id}", self.id, self.born);
        let headers = [("X-Request-Id", id), ("X-Server-Stamp", stamp.as_str())];
        if self.events == 0 {
            thread::sleep(Duration::from_millis(self.work_ms));
            return respond(stream, "200 OK", &headers, &format!("done {id}"));
        }
        thread::sleep(Duration::from_millis(self.event_ms));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Stamp: {stamp}\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=self.events {
            let text = format!("id: {event}\ndata: piece {event} written by {}\n\n", self.version);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(self.event_ms));
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.note(&format!("end {id}"));
        Ok(())
    }
}

fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}
