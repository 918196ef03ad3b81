//! Measures gossip in data centres of different sizes: bytes per second and CPU time of each instance, and the time
//! until all instances know a change.
//!
//! `cargo run --release -p membership --example gossip`

#![allow(clippy::print_stdout, reason = "prints a table")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use common::{clock::Moment, collections::Map, name, random::Random, role::Role};
use membership::{
    event::Outstanding,
    message::{Message, Origin},
    table::{Seed, Table},
};
use wire::target::{Announcement, Fencing, Kind, Load, Phase};

const SECONDS: u64 = 60;
const STEP: Duration = Duration::from_millis(50);
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Overhead of each message: Ethernet, IP and TCP headers with timestamps (66), and the framing of a call (40).
const HEADER_BYTES: usize = 66 + 40;

struct Cluster {
    tables: Vec<Table>,
    names: Map<name::Instance, usize>,
    sent: Vec<usize>,
    cpu_time: Duration,
}

fn main() {
    println!(
        "{:>9} {:>7} {:>10} {:>10} {:>9} {:>11}",
        "instances", "targets", "bytes/s", "busiest", "cpu", "change ms"
    );
    for (instances, targets) in [(2, 7), (8, 38), (20, 130), (44, 280)] {
        run(instances, targets);
    }
}

fn run(instances: usize, targets: usize) {
    let mut random = Random::new(7);
    let mut cluster = Cluster::new(instances);
    let mut now = Moment(1_000_000);
    let start = now;
    let mut next: Vec<Moment> =
        (0..instances).map(|at| now + Duration::from_millis(at as u64 * 23)).collect();
    let mut changed = None;
    let mut change_ms = None;
    while now.since(start) < Duration::from_secs(SECONDS) {
        announce_due(&mut cluster, targets, now, &mut random);
        for (instance, due) in next.iter_mut().enumerate() {
            if now >= *due {
                *due = now + cluster.tables[instance].exchange_period();
                cluster.round(instance, now, targets, &mut random);
            }
        }
        if now.since(start) >= Duration::from_secs(30) && changed.is_none() {
            let mut leaving = announcement(0, now);
            leaving.phase = Phase::Leaving;
            leaving.sequence += 1;
            cluster.tables[0].receive_announcement(leaving, now);
            changed = Some(now);
        }
        if let Some(since) = changed.filter(|_| change_ms.is_none())
            && cluster.tables.iter().all(knows_leaving)
        {
            change_ms = Some(now.since(since).as_millis());
        }
        now = now + STEP;
    }
    let total: usize = cluster.sent.iter().sum();
    let each = total as f64 / instances as f64 / SECONDS as f64;
    let busiest = cluster.sent.iter().max().copied().unwrap_or_default() as f64 / SECONDS as f64;
    let cpu = cluster.cpu_time.as_secs_f64() / instances as f64 / SECONDS as f64 * 100.0;
    let change = change_ms.map_or(String::from("-"), |ms| ms.to_string());
    println!("{instances:>9} {targets:>7} {each:>10.0} {busiest:>10.0} {cpu:>8.3}% {change:>11}");
}

fn knows_leaving(table: &Table) -> bool {
    table.targets().any(|target| target.target.0 == "runner-0" && target.phase == Phase::Leaving)
}

fn announce_due(cluster: &mut Cluster, targets: usize, now: Moment, random: &mut Random) {
    for target in 0..targets {
        let offset = target as u64 * 50 % 1_000;
        if (now.0 + offset) % u64::try_from(ANNOUNCEMENT_INTERVAL.as_millis()).unwrap_or(1) < 50 {
            let at = random.below(cluster.tables.len());
            let mut fresh = announcement(target, now);
            if target == 0 && now.0 > 1_030_000 {
                fresh.phase = Phase::Leaving;
            }
            cluster.timed(|cluster| cluster.tables[at].receive_announcement(fresh, now));
        }
    }
}

impl Cluster {
    fn new(instances: usize) -> Cluster {
        let name = |at: usize| name::Instance(format!("suva-{at}"));
        let seeds =
            (0..instances).map(|at| Seed { instance: name(at), data_centre: "suva".into() });
        let seeds: Vec<Seed> = seeds.collect();
        let tables = (0..instances).map(|at| {
            let others: Vec<Seed> =
                seeds.iter().filter(|seed| seed.instance != name(at)).cloned().collect();
            Table::new(origin(name(at)), &others, at as u64, Moment(1_000_000))
        });
        Cluster {
            tables: tables.collect(),
            names: (0..instances).map(|at| (name(at), at)).collect(),
            sent: vec![0; instances],
            cpu_time: Duration::ZERO,
        }
    }

    fn round(&mut self, instance: usize, now: Moment, targets: usize, random: &mut Random) {
        let counts: Vec<Outstanding> = (0..targets)
            .map(|target| Outstanding {
                target: name::Target(format!("runner-{target}")),
                requests: u32::try_from(random.below(4)).unwrap_or_default(),
            })
            .collect();
        let peers = self.timed(|cluster| {
            let table = &mut cluster.tables[instance];
            table.set_outstanding(counts);
            table.tick(now);
            while table.next_event().is_some() {}
            table.gossip_peers()
        });
        for peer in peers {
            let other = self.names[&peer];
            let first = self.tables[instance].start_exchange();
            let reply = self.send(instance, other, &first, now);
            let last = self.send(other, instance, &reply, now);
            self.send(instance, other, &last, now);
        }
    }

    /// Sends a message and returns the reply, which is not counted before it is sent in turn.
    fn send(&mut self, from: usize, to: usize, message: &Message, now: Moment) -> Message {
        self.timed(|cluster| {
            let bytes = message.encode();
            cluster.sent[from] += bytes.len() + HEADER_BYTES;
            let read = Message::decode(&bytes).expect("invariant: it was encoded here");
            cluster.tables[to].receive(read, now)
        })
    }

    fn timed<T>(&mut self, work: impl FnOnce(&mut Cluster) -> T) -> T {
        let start = Instant::now();
        let result = work(self);
        self.cpu_time += start.elapsed();
        result
    }
}

fn origin(instance: name::Instance) -> Origin {
    let callers = SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000));
    Origin { instance, data_centre: "suva".into(), incarnation: 1, callers }
}

fn announcement(target: usize, now: Moment) -> Announcement {
    Announcement {
        target: name::Target(format!("runner-{target}")),
        incarnation: 1_700_000_000_000,
        sequence: now.0 / 50,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        kind: Kind::Engine,
        partner: "association".into(),
        service: "vent-llm".into(),
        data_centre: "suva".into(),
        models: vec![String::from("vent-7b")],
        role: Role::Mixed,
        fencing: Fencing::Checked,
        cache_pieces: 64,
        slots: 16,
        lease_ms: 10_000,
        phase: Phase::Ready,
        load: Load {
            age_ms: 20,
            running: 9,
            waiting: 1,
            queued_prompt_tokens: 4_000 + now.0 % 1_000,
            prompt_tokens: now.0 * 3,
            cached_tokens: now.0 * 2,
            output_tokens: now.0,
        },
        cache_events: Vec::new(),
    }
}
