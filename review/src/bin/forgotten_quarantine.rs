//! Case: after all processes were killed, it is forgotten which request crashes runners.

use std::{path::Path, time::Duration};

use review::{
    case,
    fleet::{Daemon, Fleet, Net},
    http,
    record::Record,
    runner::{Options, Runner, read_log, rotated},
    sleep_ms, trouble, unix_ms,
};

const RUNNERS: u8 = 6;
const POISON: &str = "the request that crashes";
/// Time from the crash of a runner until it is back.
const BACK_MS: u64 = 2_000;
/// Time between two copies of the request.
const COPY_MS: u64 = 3_000;
/// `contact_ms`.
const CONTACT_MS: u64 = 3_000;
/// Retries that may reach runners: the rule says «more than three».
const MOST_RETRIES: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/q/","route_type":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"records","max_attempts":2,"session_affinity":false,"resumable":false,"gap_target_ms":250}],"services":[{"name":"records","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn main() {
    case::main(run);
}

fn run(temporary: &Path, record: &Record) -> bool {
    let net = Net::find();
    let mut fleet = Fleet::start(&net, temporary, record, 3);
    fleet.declare(CONFIG);
    let log = temporary.join("runners.log");
    let control = fleet.control_addresses();
    let options = |number: u8, boot: u32| Options {
        id: format!("i-{number}-{boot}"),
        service: String::from("records"),
        version: String::from("v1"),
        listen: net.server(41 + number),
        announced: net.server(41 + number),
        control: rotated(control.clone(), number),
        events: 0,
        work_ms: 20,
        first_ping_ms: 0,
        poison: POISON.to_owned(),
        stage: String::new(),
    };
    let mut runners: Vec<(Runner, u32, Option<u64>)> = (0..RUNNERS)
        .map(|number| (Runner::start(options(number, 0), &log, record), 0, None))
        .collect();
    fleet.until_ready();
    fleet.end_bootstrap();
    sleep_ms(6_000);
    let mut copies = 0;
    let mut next_copy = unix_ms();
    let mut next_sound = unix_ms();
    let mut sound = (0, 0);
    let mut restarted = false;
    let begin = unix_ms();
    while unix_ms() < begin + 75_000 {
        // A runner is back some seconds after it crashed, as a new boot with a new id.
        for (number, (runner, boot, ended)) in runners.iter_mut().enumerate() {
            if !runner.has_ended() {
                continue;
            }
            let at = *ended.get_or_insert_with(unix_ms);
            if unix_ms() >= at + BACK_MS {
                *boot += 1;
                *ended = None;
                *runner = Runner::start(options(number as u8, *boot), &log, record);
            }
        }
        let crashed = read_log(&log).iter().filter(|line| line.what == "crash").count();
        if trouble() && !restarted && crashed >= 3 && unix_ms() >= begin + 30_000 {
            restarted = true;
            let kill = |daemons: &mut Vec<Daemon>| daemons.iter_mut().for_each(Daemon::kill);
            let start = |daemons: &mut Vec<Daemon>| daemons.iter_mut().for_each(Daemon::start);
            kill(&mut fleet.control);
            kill(&mut fleet.entries);
            sleep_ms(500);
            start(&mut fleet.control);
            start(&mut fleet.entries);
            // Machines are in touch again after twice contact_ms, since most of the core was hit.
            next_copy = unix_ms() + 2 * CONTACT_MS + 1_500;
            fleet.until_ready();
        }
        if unix_ms() >= next_copy {
            next_copy += COPY_MS;
            copies += 1;
            let to = fleet.entries[copies % fleet.entries.len()].callers();
            let answer = send(to, &format!("c{copies}"), POISON);
            record.line(format!(
                "consumer: copy c{copies} to {to} gets {} after {} ms",
                answer.status,
                answer.took.as_millis()
            ));
        }
        if unix_ms() >= next_sound {
            next_sound += 200;
            sound.0 += 1;
            let to = fleet.entries[sound.0 % fleet.entries.len()].callers();
            let answer = send(to, &format!("n{}", sound.0), &format!("sound {}", sound.0));
            sound.1 += usize::from(answer.status == 200);
            if answer.status != 200 {
                record.line(format!("consumer: sound n{} gets {}", sound.0, answer.status));
            }
        }
        sleep_ms(20);
    }
    let lines = read_log(&log);
    for line in lines.iter().filter(|line| !line.id.starts_with('n')) {
        record.line_at(line.at, format!("runner: {} {} {}", line.what, line.id, line.rest));
    }
    let crashes: Vec<_> = lines.iter().filter(|line| line.what == "crash").collect();
    fleet.require(crashes.len() >= 3, "the request has crashed three runners");
    fleet.require(sound.1 * 2 > sound.0, "most sound requests are served");
    let from = crashes[2].at + CONTACT_MS;
    let late: Vec<_> = lines
        .iter()
        .filter(|line| line.what == "run" && line.id.starts_with('c') && line.at > from)
        .collect();
    record.line(format!(
        "{copies} copies were sent, {} crashed a runner; {} reached runners later than {CONTACT_MS} ms after the third crash; \
         sound requests: {} of {} served",
        crashes.len(),
        late.len(),
        sound.1,
        sound.0
    ));
    late.len() <= MOST_RETRIES
}

fn send(to: std::net::SocketAddr, id: &str, body: &str) -> http::Response {
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
        ("Content-Type", "application/json"),
    ];
    http::request(to, "POST", "/q/lookup", &headers, body, Duration::from_secs(3))
}
