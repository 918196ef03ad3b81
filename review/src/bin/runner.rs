//! A runner as the operators' pages describe it: serves requests, or streams, and sends pings.
//!
//! ID SERVICE VERSION LISTEN ANNOUNCED CONTROL,... EVENTS WORK_MS FIRST_PING_MS POISON LOG STAGE

use std::{
    fs::{File, OpenOptions},
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use review::{
    http::{self, Head, read_head},
    sleep_ms, unix_ms,
};

/// `heartbeat_interval_ms` of the settings.
const PING_INTERVAL_MS: u64 = 1_200;

/// `switch_s`: time of a change of stage.
const SWITCH_MS: u64 = 3_000;

struct Runner {
    id: String,
    service: String,
    version: String,
    announced: String,
    events: u64,
    work_ms: u64,
    poison: String,
    /// `prefill` or `decode` for an engine; empty for other runners.
    stage: Mutex<String>,
    /// Orders accepted since the start.
    orders: AtomicU64,
    log: Mutex<File>,
    born: u64,
    left: AtomicBool,
}

impl Runner {
    fn log(&self, what: &str, id: &str, rest: &str) {
        let line = format!(
            "{} {what} {} {} {} {rest}\n",
            unix_ms(),
            if id.is_empty() { "-" } else { id },
            self.id,
            self.version
        );
        let _ignored = self.log.lock().unwrap().write_all(line.as_bytes());
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
    let control: Vec<SocketAddr> =
        arguments[5].split(',').map(|address| address.parse().expect("an address")).collect();
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&arguments[10])
        .expect("the log can be written");
    let runner = Arc::new(Runner {
        id: arguments[0].clone(),
        service: arguments[1].clone(),
        version: arguments[2].clone(),
        announced: arguments[4].clone(),
        events: number(6),
        work_ms: number(7),
        poison: arguments[9].clone(),
        stage: Mutex::new(arguments[11].clone()),
        orders: AtomicU64::new(0),
        log: Mutex::new(log),
        born: unix_ms(),
        left: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(&arguments[3]).expect("the address is free");
    runner.log("born", "", "");
    let pinged = Arc::clone(&runner);
    let (pings_to, first_ping_ms) = (control.clone(), number(8));
    thread::spawn(move || {
        sleep_ms(first_ping_ms);
        ping(&pinged, &pings_to);
    });
    let leaving = Arc::clone(&runner);
    thread::spawn(move || {
        let mut line = String::new();
        while std::io::stdin().read_line(&mut line).is_ok_and(|read| read > 0) {
            if line.trim() == "leave" {
                leave(&leaving, &control);
            }
            line.clear();
        }
        // The case has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let runner = Arc::clone(&runner);
        thread::spawn(move || serve(&runner, stream));
    }
}

/// Sends a ping at an interval to one daemon until that fails, then to the next one.
fn ping(runner: &Runner, control: &[SocketAddr]) {
    let (mut sequence, mut next) = (0_u64, 0);
    while !runner.left.load(Ordering::Acquire) {
        sequence += 1;
        let stage = runner.stage.lock().unwrap().clone();
        let engine = if stage.is_empty() {
            String::new()
        } else {
            format!(
                "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
            )
        };
        let body = format!(
            "{{{engine}\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"suva\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            runner.service, runner.announced, runner.version, runner.born
        );
        for _ in 0..control.len() {
            let path = format!("/-/instances/{}", runner.id);
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let status =
                http::request(control[next % control.len()], "PUT", &path, &headers, &body, limit)
                    .status;
            if (200..300).contains(&status) {
                if sequence == 1 {
                    runner.log("pinged", "", "first ping acknowledged");
                }
                break;
            }
            next += 1;
        }
        sleep_ms(PING_INTERVAL_MS);
    }
}

fn leave(runner: &Runner, control: &[SocketAddr]) {
    runner.left.store(true, Ordering::Release);
    for address in control {
        let path = format!("/-/instances/{}", runner.id);
        runner.log("leaves", "", "DELETE is sent");
        let status = http::request(
            *address,
            "DELETE",
            &path,
            &[("Host", "control")],
            "",
            Duration::from_secs(1),
        )
        .status;
        if status == 200 {
            runner.log("left", "", "DELETE is acknowledged");
            return;
        }
    }
}

fn serve(runner: &Arc<Runner>, stream: TcpStream) {
    let _ignored = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let mut body = vec![0; head.length()];
        if reader.read_exact(&mut body).is_err()
            || respond(runner, &head, &body, &mut writer).is_err()
        {
            return;
        }
    }
}

fn respond(
    runner: &Arc<Runner>,
    head: &Head,
    body: &[u8],
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    let id = head.get("x-request-id").unwrap_or_default().to_owned();
    let path = head.first.split(' ').nth(1).unwrap_or("/");
    if head.first.starts_with("GET /health ") {
        return plain(writer, "200 OK", &[("X-Instance-Id", &runner.id)], "");
    }
    if head.get("x-expect-instance").is_some_and(|expected| expected != runner.id) {
        runner.log("misdirected", &id, path);
        return plain(
            writer,
            "421 Misdirected Request",
            &[("X-Not-Run", "1"), ("X-Request-Id", &id)],
            "",
        );
    }
    let stage = runner.stage.lock().unwrap().clone();
    if !stage.is_empty()
        && let Some(answered) = respond_as_engine(runner, head, &id, &stage, writer)
    {
        return answered;
    }
    if id.is_empty() {
        return plain(writer, "400 Bad Request", &[("X-Not-Run", "1")], "");
    }
    let after: u64 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    runner.log("run", &id, &format!("{path} after event {after}"));
    if !runner.poison.is_empty() && body == runner.poison.as_bytes() {
        runner.log("crash", &id, path);
        std::process::abort();
    }
    let stamp = format!("{}.{}.{id}", runner.id, runner.version);
    if runner.events == 0 {
        sleep_ms(runner.work_ms);
        let signed = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &stamp)];
        let sent = plain(writer, "200 OK", &signed, &format!("done by {}", runner.id));
        runner.log(if sent.is_ok() { "done" } else { "unread" }, &id, path);
        return sent;
    }
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
         X-Server-Stamp: {stamp}\r\n\r\n"
    )?;
    for event in after + 1..=runner.events {
        sleep_ms(runner.work_ms);
        let text = format!("id: {event}\ndata: {} {} {event}\n\n", runner.id, runner.version);
        if let Err(error) = write!(writer, "{:x}\r\n{text}\r\n", text.len()) {
            runner.log("broken", &id, &format!("at event {event}"));
            return Err(error);
        }
    }
    runner.log("done", &id, path);
    write!(writer, "0\r\n\r\n")
}

/// Calls that engines have besides, and those that the stage forbids.
fn respond_as_engine(
    runner: &Arc<Runner>,
    head: &Head,
    id: &str,
    stage: &str,
    writer: &mut TcpStream,
) -> Option<std::io::Result<()>> {
    let (method, path) = head
        .first
        .split_once(' ')
        .map(|(method, rest)| (method, rest.split(' ').next().unwrap_or("/")))?;
    let json = |writer: &mut TcpStream, status: &str, body: String| {
        plain(writer, status, &[("Content-Type", "application/json"), ("X-Request-Id", id)], &body)
    };
    let orders = runner.orders.load(Ordering::Acquire);
    match (method, path) {
        ("GET", "/-/report") => {
            let body = format!(
                "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":{orders},\"queued\":0,\"running\":0,\"kv_used\":0,\
                 \"kv_total\":509868,\"handles\":0}}"
            );
            Some(json(writer, "200 OK", body))
        }
        ("POST", "/-/order") => {
            runner.log("order", id, stage);
            runner.orders.fetch_add(1, Ordering::AcqRel);
            let next = if stage == "prefill" { "decode" } else { "prefill" };
            let runner = Arc::clone(runner);
            thread::spawn(move || {
                sleep_ms(SWITCH_MS);
                *runner.stage.lock().unwrap() = String::from(next);
            });
            Some(plain(writer, "202 Accepted", &[], ""))
        }
        ("GET", path) if path.starts_with("/-/kv-list") => {
            Some(json(writer, "200 OK", String::from("{\"epoch\":1,\"next\":1,\"held\":[]}")))
        }
        ("DELETE", _) => Some(plain(writer, "200 OK", &[], "")),
        _ if head.get("x-serving-stage") == Some("prefill") && stage == "prefill" => {
            runner.log("prefill", id, path);
            sleep_ms(20);
            let body = format!("{{\"handle\":\"{id}\",\"tokens\":1460,\"version\":1}}");
            Some(json(writer, "200 OK", body))
        }
        _ if stage == "prefill" || head.get("x-serving-stage") == Some("prefill") => {
            runner.log("wrong-stage", id, path);
            let headers = [("X-Not-Run", "1"), ("X-Request-Id", id)];
            Some(plain(writer, "421 Misdirected Request", &headers, ""))
        }
        _ => None,
    }
}

fn plain(
    writer: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    writer.write_all(text.as_bytes())
}
