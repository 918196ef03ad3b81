//! A fleet of engines in simulated time, with several entry instances that choose among them.
//!
//! Engines compute prompts in the order of their arrival and keep what they have read. Other than the balancer they
//! know the truth: when a prompt is really computed and which parts are really held then.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use common::{clock::Moment, collections::Map, name, random::Random};
use fleet::{
    config::{Config, Engine, Retry, Service},
    exchange::{Notice, Part},
    registry::{Stage, State, Target},
};
use placement::{
    balancer::{
        Balancer, Key,
        selection::{Criteria, Decision, Plan, Prefill},
    },
    cache::Cache,
    speed::{self, Distance, Speed},
};

const SERVICE: &str = "engines";
const START_MS: u64 = 1_000_000;
const KV_TOKENS: u64 = 505_550;
/// Longest pause between two events of a stream that is still on time, from the operators' sheet.
const MAX_GAP_MS: f64 = 250.0;

/// Streams that run at an engine beside another, for the time that one takes.
const CONCURRENT_STREAMS: u64 = 30;

/// How requests choose their engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The balancer.
    Balancer,
    /// Any engine that computes prompts.
    Random,
    /// The engine with the fewest own requests.
    LeastOutstanding,
    /// The engine that the first part is hashed to.
    Affinity,
}

/// One kind of request; numbers as in the operators' sheets.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub per_s: f64,
    pub prefixes: u64,
    pub shared: u32,
    pub fresh: u32,
    pub output: u64,
    pub target: Duration,
    pub timeout: Duration,
}

/// The requests of the Association's inspection assistant, times `factor`.
pub fn association(factor: f64) -> [Kind; 3] {
    let kind = |per_s: f64, prefixes, shared, fresh, output, target, timeout| Kind {
        per_s: per_s * factor,
        prefixes,
        shared,
        fresh,
        output,
        target: Duration::from_millis(target),
        timeout: Duration::from_millis(timeout),
    };
    [
        kind(29.9, 135, 13_300, 3_720, 120, 600, 5_000),
        kind(23.6, 71, 6_300, 2_890, 52, 1_000, 3_000),
        kind(51.0, 346, 350, 1_110, 172, 1_000, 6_000),
    ]
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

/// What a run gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub kinds: Vec<Outcome>,
    pub prefilled_tokens: u64,
    pub prompt_tokens: u64,
}

impl Report {
    pub fn in_time(&self) -> f64 {
        let requests: u32 = self.kinds.iter().map(|kind| kind.requests).sum();
        let in_time: u32 = self.kinds.iter().map(|kind| kind.in_time).sum();
        f64::from(in_time) / f64::from(requests.max(1))
    }

    pub fn kind_in_time(&self, kind: usize) -> f64 {
        let outcome = &self.kinds[kind];
        f64::from(outcome.in_time) / f64::from(outcome.requests.max(1))
    }

    pub fn prefilled_share(&self) -> f64 {
        self.prefilled_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

struct Runner {
    target: Target,
    cache: Cache,
    /// Since when it has been computing prompts without a break.
    busy_from: f64,
    busy_until: f64,
    outstanding: u32,
    /// Streams that it generates.
    streams: Vec<Stream>,
}

struct Stream {
    kind: usize,
    from: f64,
    until: f64,
    in_time: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Prefilled(usize),
}

/// The engine that computes a prompt, the one it copies parts from, and the balancer's plan with its number.
type Choice = (usize, Option<usize>, Option<(Plan, u64)>);

struct Sent {
    entry: usize,
    engine: usize,
    plan: Option<(Plan, u64)>,
    parts: Vec<Part>,
}

pub struct Simulation {
    policy: Policy,
    engines: Vec<Runner>,
    entries: Vec<Balancer>,
    kinds: Vec<Kind>,
    random: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sent: Vec<Sent>,
    report: Report,
    next_part_id: u64,
    order: u64,
}

impl Simulation {
    pub fn new(policy: Policy, computing: usize, generating: usize, kinds: &[Kind]) -> Simulation {
        let stages =
            (0..computing).map(|_| Stage::Prefill).chain((0..generating).map(|_| Stage::Decode));
        let engines: Vec<Runner> =
            stages.enumerate().map(|(number, stage)| runner(number, stage)).collect();
        let entries = (0..8).map(|entry| balancer(entry, &engines)).collect();
        Simulation {
            policy,
            engines,
            entries,
            kinds: kinds.to_vec(),
            random: Random::new(7),
            events: BinaryHeap::new(),
            sent: Vec::new(),
            report: Report { kinds: vec![Outcome::default(); kinds.len()], ..Report::default() },
            next_part_id: 1 << 40,
            order: 0,
        }
    }

    /// Plays `seconds` of load.
    pub fn run(mut self, seconds: u64) -> Report {
        let end = (START_MS + seconds * 1_000) * 1_000;
        self.push(START_MS * 1_000, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            match event {
                Event::Arrival => {
                    let total: f64 = self.kinds.iter().map(|kind| kind.per_s).sum();
                    let gap_us = -(1.0 - self.random.unit()).ln() / total * 1e6;
                    self.push(at + gap_us as u64, Event::Arrival);
                    self.arrive(at);
                }
                Event::Prefilled(sent) => self.complete(sent, at),
            }
        }
        self.report
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn arrive(&mut self, at: u64) {
        let total: f64 = self.kinds.iter().map(|kind| kind.per_s).sum();
        let mut draw = self.random.unit() * total;
        let mut number = 0;
        while draw > self.kinds[number].per_s && number + 1 < self.kinds.len() {
            draw -= self.kinds[number].per_s;
            number += 1;
        }
        let kind = self.kinds[number];
        let prefix = ((number as u64) << 32) | (self.random.word() % kind.prefixes);
        self.next_part_id += 1;
        // Sizes vary as much as callers' do: half of the mean to twice the mean.
        let own = (f64::from(kind.fresh)
            * (0.5 + 1.5 * self.random.unit() * self.random.unit() * 2.0)) as u32;
        let parts = vec![
            Part { id: prefix, tokens: kind.shared },
            Part { id: self.next_part_id, tokens: own },
        ];
        let prompt = u64::from(kind.shared) + u64::from(own);
        self.report.prompt_tokens += prompt;
        let outcome = &mut self.report.kinds[number];
        outcome.requests += 1;
        let entry = self.random.below(self.entries.len());
        let service = name::Service::from(SERVICE);
        let criteria = Criteria {
            service: &service,
            parts: &parts,
            prompt_tokens: prompt,
            output_tokens: kind.output,
            target_latency: kind.target,
            remaining: kind.timeout,
            avoid: &[],
            retry: Retry::Never,
            prefill: Prefill::Anywhere,
        };
        let now = Moment(at / 1_000);
        let time = at as f64 / 1e3;
        let Some((engine, fetch, plan)) = self.choose(entry, &criteria, now) else {
            self.report.kinds[number].refused += 1;
            return;
        };
        let mut held = self.engines[engine].cache.computed_prefix_tokens(&parts);
        let mut copy_ms = 0.0;
        if let Some(holder) = fetch {
            let there = self.engines[holder].cache.computed_prefix_tokens(&parts);
            if there > held {
                copy_ms = speed::transfer_ms(&engine_config(), there - held, Distance::Near);
                held = there;
            }
        }
        let runner = &mut self.engines[engine];
        let fresh = prompt - held.min(prompt);
        self.report.prefilled_tokens += fresh;
        let prompt_ms = Speed::default().prompt_ms(runner.target.stage, fresh, held);
        if runner.busy_until < time {
            runner.busy_from = time;
        }
        let done = runner.busy_until.max(time) + prompt_ms + copy_ms;
        runner.busy_until = done;
        runner.outstanding += 1;
        let transfer_ms = if runner.target.stage == Some(Stage::Prefill) {
            speed::transfer_ms(&engine_config(), prompt, Distance::Near)
        } else {
            0.0
        };
        let first_ms = done - time + transfer_ms + speed::first_step_ms();
        let outcome = &mut self.report.kinds[number];
        let in_time = first_ms <= kind.target.as_secs_f64() * 1e3;
        if in_time {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
        let generates = plan.as_ref().map_or(engine, |(plan, _)| self.number(entry, plan.target));
        let from = time + first_ms;
        let until = from + speed::output_ms(kind.output, CONCURRENT_STREAMS);
        self.engines[generates].streams.push(Stream { kind: number, from, until, in_time });
        if self.engines[engine].target.stage != Some(Stage::Prefill) {
            self.stall(engine);
        }
        self.sent.push(Sent { entry, engine, plan, parts });
        self.push((done * 1e3) as u64, Event::Prefilled(self.sent.len() - 1));
    }

    /// Streams are late whose engine computes prompts for longer than their longest pause.
    fn stall(&mut self, engine: usize) {
        let Runner { busy_from, busy_until, streams, .. } = &mut self.engines[engine];
        streams.retain(|stream| stream.until > *busy_from);
        for stream in streams.iter_mut().filter(|stream| stream.in_time) {
            let stalled = busy_until.min(stream.until) - busy_from.max(stream.from);
            if stalled > MAX_GAP_MS {
                stream.in_time = false;
                self.report.kinds[stream.kind].in_time -= 1;
                self.report.kinds[stream.kind].late += 1;
            }
        }
    }

    fn choose(&mut self, entry: usize, criteria: &Criteria<'_>, now: Moment) -> Option<Choice> {
        let computing: Vec<usize> = (0..self.engines.len())
            .filter(|number| self.engines[*number].target.stage == Some(Stage::Prefill))
            .collect();
        match self.policy {
            Policy::Random => Some((computing[self.random.below(computing.len())], None, None)),
            Policy::LeastOutstanding => {
                let least =
                    computing.into_iter().min_by_key(|number| self.engines[*number].outstanding);
                Some((least?, None, None))
            }
            Policy::Affinity => {
                let hash = common::random::mix(criteria.parts[0].id);
                Some((computing[usize::try_from(hash % computing.len() as u64).ok()?], None, None))
            }
            Policy::Balancer => {
                let Decision::Send(plan) = self.entries[entry].choose(criteria, now) else {
                    return None;
                };
                let (number, notices) = self.entries[entry].record_dispatch(&plan, criteria, now);
                self.broadcast(entry, &notices, now);
                let computes = self.number(entry, plan.prefill.unwrap_or(plan.target));
                let fetch = plan.prefix_source.map(|key| self.number(entry, key));
                Some((computes, fetch, Some((plan, number))))
            }
        }
    }

    fn complete(&mut self, sent: usize, at: u64) {
        let Sent { entry, engine, parts, .. } = &self.sent[sent];
        let (entry, engine, parts) = (*entry, *engine, parts.clone());
        let now = Moment(at / 1_000);
        self.engines[engine].cache.add_computed(&parts);
        self.engines[engine].outstanding -= 1;
        let Some((plan, number)) = self.sent[sent].plan.clone() else {
            return;
        };
        let balancer = &mut self.entries[entry];
        let mut notices: Vec<Notice> = balancer.complete_prompt(number, now).into_iter().collect();
        for key in [Some(plan.target), plan.prefill].into_iter().flatten() {
            notices.extend(balancer.record_cached(key, &parts));
        }
        balancer.complete_request(plan.target);
        let target = self.number(entry, plan.target);
        self.engines[target].cache.add_computed(&parts);
        self.broadcast(entry, &notices, now);
    }

    fn broadcast(&mut self, from: usize, notices: &[Notice], now: Moment) {
        for (number, balancer) in self.entries.iter_mut().enumerate() {
            if number != from {
                notices.iter().for_each(|notice| balancer.apply_notice(notice, now));
            }
        }
    }

    fn number(&self, entry: usize, key: Key) -> usize {
        let name = &self.entries[entry].entry(key).expect("the target is known").target.name;
        self.engines.iter().position(|engine| engine.target.name == *name).expect("it exists")
    }
}

pub fn engine_config() -> Engine {
    Engine {
        slots: 64,
        kv_tokens: KV_TOKENS,
        kv_token_bytes: 327_680,
        link_mbps: 3_800_000,
        handle_ttl: Duration::from_secs(5),
    }
}

pub fn target(number: usize, stage: Option<Stage>) -> Target {
    Target {
        name: name::Target(format!("i-{number}")),
        service: name::Service::from(SERVICE),
        address: format!("10.0.0.{}:80", number + 1).parse().expect("an address"),
        data_centre: name::DataCentre::from("suva"),
        state: State::Ready,
        stage,
        slots: 64,
        started_unix_ms: 1,
        sequence: 1,
    }
}

pub fn balancer(seed: u64, engines: &[impl AsRef<Target>]) -> Balancer {
    let mut balancer = Balancer::new(name::DataCentre::from("suva"), seed);
    let service = Service {
        name: name::Service::from(SERVICE),
        connections: 370,
        engine: Some(engine_config()),
    };
    balancer.configure(&Config { version: 1, services: vec![service], ..Config::default() });
    for engine in engines {
        balancer.update(engine.as_ref());
    }
    balancer
}

impl AsRef<Target> for Runner {
    fn as_ref(&self) -> &Target {
        &self.target
    }
}

fn runner(number: usize, stage: Stage) -> Runner {
    let target = target(number, Some(stage));
    Runner {
        target,
        cache: Cache::new(KV_TOKENS),
        busy_from: 0.0,
        busy_until: 0.0,
        outstanding: 0,
        streams: Vec::new(),
    }
}

/// Names of the policies with what each gave, for a table.
pub fn compare(
    computing: usize,
    generating: usize,
    kinds: &[Kind],
    seconds: u64,
) -> Map<&'static str, Report> {
    let policies = [
        ("balancer", Policy::Balancer),
        ("random", Policy::Random),
        ("least outstanding", Policy::LeastOutstanding),
        ("affinity", Policy::Affinity),
    ];
    let run =
        |(name, policy)| (name, Simulation::new(policy, computing, generating, kinds).run(seconds));
    policies.into_iter().map(run).collect()
}
