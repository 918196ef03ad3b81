//! Simulated fleet of which instances are cut off from all targets for a while.

#[path = "relay_plan.rs"]
mod relay_plan;

use std::{cmp::Reverse, collections::BinaryHeap};

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
    random::Random,
};
use fleet::exchange::Reach;
use placement::{
    reach::{Own, Table},
    relay::{Outcome, Peer, Peers},
};

pub use relay_plan::{Cut, Failure, Figures, Part, Plan, Policy};

/// Time from the begin of a cut from which requests are counted.
pub const CONTACT_MS: u64 = 3_000;
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;
const CONNECT_TIMEOUT_MS: u64 = 200;
const HOP_MS: u64 = 1;
const ANSWER_MS: u64 = 100;
const DEADLINE_MS: u64 = 600;
const MAX_ATTEMPTS: u32 = 5;
const MAX_RELAYS: usize = 3;
const TICK_MS: u64 = 50;
const MAX_DELAY_MS: u64 = 50;
const PROBES: usize = 3;
/// Time after which an instance tries to connect again to a target that it left out.
const RECONNECT_MS: u64 = 500;

#[derive(Clone, Debug)]
struct Request {
    origin: usize,
    arrived_ms: u64,
    attempts: u32,
    avoid: Vec<name::Instance>,
    counted: bool,
    /// Number of the origin's process.
    process: u32,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    /// A request is at the instance that works on it.
    Work {
        request: Request,
        worker: usize,
    },
    Attempted {
        request: Request,
        worker: usize,
        target: usize,
        reached: bool,
    },
    Reply {
        request: Request,
        worker: usize,
        outcome: Outcome,
    },
    Probed {
        instance: usize,
        target: usize,
        reached: bool,
    },
    Notice {
        to: usize,
        reach: Reach,
    },
    Tick(usize),
    Reconnect(usize),
    Restart(usize),
}

struct Instance {
    table: Table,
    own: Own,
    peers: Peers,
    left_out: Set<usize>,
    process: u32,
    mistaken: usize,
}

#[derive(Default)]
struct Count {
    served: usize,
    all: usize,
}

struct Simulation<'plan> {
    plan: &'plan Plan,
    /// The instances that each cut concerns.
    cut_off: Vec<Set<usize>>,
    random: Random,
    now_ms: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Map<u64, Event>,
    instances: Vec<Instance>,
    service: name::Service,
    cut_off_count: Count,
    others_count: Count,
    first_relayed: Vec<Option<u64>>,
    worked: Vec<usize>,
    arrived: Vec<usize>,
    figures: Figures,
}

/// Plays a plan.
pub fn simulate(plan: &Plan, seed: u64) -> Figures {
    let mut simulation = Simulation::new(plan, seed);
    let end_ms = plan.cuts.iter().map(|cut| cut.until_ms).max().unwrap_or(0) + 2_000;
    while let Some(Reverse((at_ms, sequence))) = simulation.queue.pop() {
        if at_ms > end_ms {
            break;
        }
        simulation.now_ms = at_ms;
        if let Some(event) = simulation.events.remove(&sequence) {
            simulation.handle(event);
        }
    }
    simulation.figures()
}

fn instance_name(number: usize) -> name::Instance {
    name::Instance(format!("entry-{number}"))
}

fn target_name(number: usize) -> name::Target {
    name::Target(format!("target-{number}"))
}

impl Simulation<'_> {
    fn new(plan: &Plan, seed: u64) -> Simulation<'_> {
        let mut random = Random::new(seed);
        let cut_off = plan.cuts.iter().map(|cut| part(plan, cut.part, &mut random)).collect();
        let instances = (0..plan.instances).map(|number| instance(plan, number, 0, seed)).collect();
        let mut simulation = Simulation {
            plan,
            cut_off,
            random,
            now_ms: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Map::default(),
            instances,
            service: name::Service::from("search"),
            cut_off_count: Count::default(),
            others_count: Count::default(),
            first_relayed: vec![None; plan.cuts.len()],
            worked: vec![0; plan.instances],
            arrived: vec![0; plan.instances],
            figures: Figures::default(),
        };
        for number in 0..plan.instances {
            let tick = simulation.random.below(TICK_MS as usize) as u64;
            simulation.schedule(tick, Event::Tick(number));
            simulation.schedule(tick * 10, Event::Reconnect(number));
            simulation.schedule_arrival(number);
        }
        for _ in 0..plan.restarts {
            let number = simulation.random.below(plan.instances);
            let cut = plan.cuts[0];
            let at = simulation.random.below((cut.until_ms - cut.from_ms) as usize) as u64;
            simulation.schedule(cut.from_ms + at, Event::Restart(number));
        }
        simulation
    }

    fn now(&self) -> Moment {
        Moment(1_000_000 + self.now_ms)
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_ms + after_ms, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_arrival(&mut self, number: usize) {
        let gap_s = -(1.0 - self.random.unit()).ln() / self.plan.requests_per_s;
        self.schedule((gap_s * 1_000.0) as u64, Event::Arrival(number));
    }

    /// The cuts that are on now.
    fn cuts(&self) -> impl Iterator<Item = usize> + '_ {
        let is_on = |cut: &Cut| (cut.from_ms..cut.until_ms).contains(&self.now_ms);
        (0..self.plan.cuts.len()).filter(move |index| is_on(&self.plan.cuts[*index]))
    }

    fn is_cut_off(&self, number: usize) -> bool {
        self.cuts().any(|cut| self.cut_off[cut].contains(&number))
    }

    /// Whether it was cut off while attempts were under way that end now.
    fn was_cut_off(&self, number: usize) -> bool {
        let was_on =
            |cut: &Cut| (cut.from_ms..cut.until_ms + CONNECT_TIMEOUT_MS).contains(&self.now_ms);
        self.plan
            .cuts
            .iter()
            .zip(&self.cut_off)
            .any(|(cut, members)| was_on(cut) && members.contains(&number))
    }

    /// Whether the target accepts a connection of the instance, and after which time that shows.
    fn connect(&self, number: usize, target: usize) -> (bool, u64) {
        if !self.is_cut_off(number) && target >= self.plan.dead {
            return (true, HOP_MS);
        }
        match self.plan.failure {
            Failure::Hangs => (false, CONNECT_TIMEOUT_MS),
            Failure::IsRefused => (false, HOP_MS),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.arrive(number),
            Event::Work { request, worker } => self.work(request, worker),
            Event::Attempted { request, worker, target, reached } => {
                self.record(worker, target, reached);
                self.finish_attempt(request, worker, reached);
            }
            Event::Reply { request, worker, outcome } => self.reply(request, worker, outcome),
            Event::Probed { instance, target, reached } => self.record(instance, target, reached),
            Event::Notice { to, reach } => {
                let now = self.now();
                self.instances[to].peers.merge(&reach, now);
            }
            Event::Tick(number) => self.tick(number),
            Event::Reconnect(number) => self.reconnect(number),
            Event::Restart(number) => {
                let process = self.instances[number].process + 1;
                let seed = self.random.next_u64();
                self.instances[number] = instance(self.plan, number, process, seed);
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        self.schedule_arrival(number);
        let counted = self
            .cuts()
            .any(|cut| self.now_ms >= self.plan.cuts[cut].from_ms + CONTACT_MS.min(self.half(cut)));
        if counted {
            let count = self.count(number);
            count.all += 1;
            self.arrived[number] += 1;
        }
        let request = Request {
            origin: number,
            arrived_ms: self.now_ms,
            attempts: 0,
            avoid: Vec::new(),
            counted,
            process: self.instances[number].process,
        };
        self.work(request, number);
    }

    /// Half of a cut's length: what is counted of a cut that is shorter than `CONTACT_MS`.
    fn half(&self, cut: usize) -> u64 {
        (self.plan.cuts[cut].until_ms - self.plan.cuts[cut].from_ms) / 2
    }

    fn count(&mut self, number: usize) -> &mut Count {
        if self.is_cut_off(number) { &mut self.cut_off_count } else { &mut self.others_count }
    }

    fn work(&mut self, mut request: Request, worker: usize) {
        if request.attempts >= MAX_ATTEMPTS || self.now_ms > request.arrived_ms + DEADLINE_MS {
            return self.give_up(request, worker, Outcome::Busy);
        }
        let instance = &self.instances[worker];
        let targets: Vec<usize> =
            (0..self.plan.targets).filter(|target| !instance.left_out.contains(target)).collect();
        if instance.table.is_cut_off(&self.service) || targets.is_empty() {
            return self.give_up(request, worker, Outcome::CutOff);
        }
        request.attempts += 1;
        let target = targets[self.random.below(targets.len())];
        let (reached, after_ms) = self.connect(worker, target);
        self.schedule(after_ms, Event::Attempted { request, worker, target, reached });
    }

    fn finish_attempt(&mut self, request: Request, worker: usize, reached: bool) {
        if !reached {
            return self.work(request, worker);
        }
        if request.counted {
            self.worked[worker] += 1;
        }
        if worker == request.origin {
            let is_served = self.now_ms + ANSWER_MS <= request.arrived_ms + DEADLINE_MS;
            return self.end(&request, is_served);
        }
        let reply = Event::Reply { request, worker, outcome: Outcome::Answered };
        self.schedule(ANSWER_MS + HOP_MS, reply);
    }

    /// The worker can't serve the request: it says so, or passes its own request on.
    fn give_up(&mut self, mut request: Request, worker: usize, outcome: Outcome) {
        if worker != request.origin {
            return self.schedule(HOP_MS, Event::Reply { request, worker, outcome });
        }
        let is_last = request.avoid.len() >= MAX_RELAYS;
        if outcome != Outcome::CutOff || is_last || self.plan.policy == Policy::Alone {
            return self.end(&request, false);
        }
        let now = self.now();
        let chosen = self.instances[worker].peers.choose(&self.service, &request.avoid, now);
        let Some(chosen) = chosen else {
            return self.end(&request, false);
        };
        let peer = number_of(&chosen);
        request.attempts += 1;
        request.process = self.instances[worker].process;
        self.schedule(HOP_MS, Event::Work { request, worker: peer });
    }

    fn reply(&mut self, mut request: Request, worker: usize, outcome: Outcome) {
        let now = self.now();
        let origin = request.origin;
        if request.process != self.instances[origin].process {
            return self.end(&request, false);
        }
        let peer = instance_name(worker);
        self.instances[origin].peers.record_end(&peer, &self.service, outcome, now);
        let in_time = self.now_ms <= request.arrived_ms + DEADLINE_MS;
        if outcome != Outcome::Answered {
            request.avoid.push(peer);
            return self.work(request, origin);
        }
        for cut in 0..self.plan.cuts.len() {
            let from_ms = self.plan.cuts[cut].from_ms;
            if in_time && request.arrived_ms >= from_ms && self.cut_off[cut].contains(&origin) {
                self.first_relayed[cut].get_or_insert(self.now_ms - from_ms);
            }
        }
        self.end(&request, in_time);
    }

    fn end(&mut self, request: &Request, is_served: bool) {
        if !request.counted || !is_served {
            return;
        }
        let now_ms = std::mem::replace(&mut self.now_ms, request.arrived_ms);
        self.count(request.origin).served += 1;
        self.now_ms = now_ms;
    }

    fn record(&mut self, number: usize, target: usize, reached: bool) {
        let now = self.now();
        let was_cut_off = self.was_cut_off(number);
        let instance = &mut self.instances[number];
        if reached {
            instance.left_out.remove(&target);
            instance.table.record_reached(&self.service, now);
            return;
        }
        instance.left_out.insert(target);
        let name = target_name(target);
        let change = instance.table.record_unreached(&self.service, &name, self.plan.targets, now);
        if change.is_some() && !was_cut_off {
            instance.mistaken += 1;
            self.figures.mistaken = self.figures.mistaken.max(instance.mistaken);
        }
        self.probe(number);
    }

    fn probe(&mut self, number: usize) {
        let now = self.now();
        if !self.instances[number].table.take_probe(&self.service, now) {
            return;
        }
        // Those that are not left out come first.
        let left_out = &self.instances[number].left_out;
        let mut targets: Vec<usize> = (0..self.plan.targets).collect();
        for index in (1..targets.len()).rev() {
            targets.swap(index, self.random.below(index + 1));
        }
        targets.sort_by_key(|target| left_out.contains(target));
        for target in targets.into_iter().take(PROBES) {
            let (reached, after_ms) = self.connect(number, target);
            self.figures.probes += 1;
            self.schedule(after_ms, Event::Probed { instance: number, target, reached });
        }
    }

    fn tick(&mut self, number: usize) {
        self.schedule(TICK_MS, Event::Tick(number));
        self.probe(number);
        let now = self.now();
        let instance = &mut self.instances[number];
        let Some(reach) = instance.own.notice(&instance.table, now) else {
            return;
        };
        self.figures.notices += 1;
        if self.plan.policy == Policy::Unmerged {
            return;
        }
        for to in (0..self.plan.instances).filter(|to| *to != number) {
            let drawn = self.random.unit();
            let copies = if drawn < self.plan.loss {
                0
            } else {
                1 + usize::from(drawn > 1.0 - self.plan.loss)
            };
            for _ in 0..copies {
                let delay = 1 + self.random.below(MAX_DELAY_MS as usize) as u64;
                self.schedule(delay, Event::Notice { to, reach: reach.clone() });
            }
        }
    }

    fn reconnect(&mut self, number: usize) {
        self.schedule(RECONNECT_MS, Event::Reconnect(number));
        let left_out: Vec<usize> = self.instances[number].left_out.iter().copied().collect();
        for target in left_out {
            let (reached, after_ms) = self.connect(number, target);
            self.schedule(after_ms, Event::Probed { instance: number, target, reached });
        }
    }

    fn figures(mut self) -> Figures {
        let share = |count: &Count| count.served as f64 / count.all.max(1) as f64;
        self.figures.served_cut_off = share(&self.cut_off_count);
        self.figures.served_others = share(&self.others_count);
        self.figures.first_relayed_ms =
            self.first_relayed.iter().map(|first| first.unwrap_or(u64::MAX)).max().unwrap_or(0);
        let mean = self.arrived.iter().sum::<usize>() as f64 / self.plan.instances as f64;
        let busiest = self.worked.iter().copied().max().unwrap_or(0);
        self.figures.largest_load = busiest as f64 / mean.max(1.0);
        self.figures
    }
}

fn instance(plan: &Plan, number: usize, process: u32, seed: u64) -> Instance {
    let data_centre =
        |number: usize| name::DataCentre(format!("dc-{}", number % plan.data_centres));
    let mut peers = Peers::new(data_centre(number), seed ^ number as u64);
    let others = (0..plan.instances).filter(|other| *other != number);
    peers.set_peers(
        others
            .map(|other| Peer { instance: instance_name(other), data_centre: data_centre(other) })
            .collect(),
    );
    Instance {
        table: Table::default(),
        own: Own::new(instance_name(number), STARTED_UNIX_MS + u64::from(process)),
        peers,
        left_out: Set::default(),
        process,
        mistaken: 0,
    }
}

fn part(plan: &Plan, part: Part, random: &mut Random) -> Set<usize> {
    let first = random.below(plan.instances);
    let count = match part {
        Part::One => 1,
        Part::Tenth => plan.instances.div_ceil(10),
        Part::AllButOne => plan.instances - 1,
        Part::DataCentre => {
            let same = |number: &usize| number % plan.data_centres == first % plan.data_centres;
            return (0..plan.instances).filter(same).collect();
        }
    };
    (0..count).map(|offset| (first + offset) % plan.instances).collect()
}

fn number_of(instance: &name::Instance) -> usize {
    instance.0.trim_start_matches("entry-").parse().expect("a name made here")
}
