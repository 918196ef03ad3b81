//! The processes and targets of a run, and the injection of faults into them.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use platform_standin::runner::{Arrival, Behaviour, Content, End, Options, Runner};
use rustix::process::Signal;
use standin::{
    partition::{Gate, Shape},
    proxy::{Conditions, Datagrams, Flow, Proxy},
};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};

use crate::{
    checker::EVENTS,
    fleet::{Daemon, Fleet, Links, Start},
    history::{Answer, BrokenOff, Disturbance, History, Order, Outage},
    plan::{self, Event, Fault, Services, Size, Victim},
};

/// Delay of a slow link; longer than any response of a stand-in takes.
const DELAY: Duration = Duration::from_millis(150);
/// Delay of datagrams; they arrive after others that were sent later.
const DATAGRAM_DELAY: Duration = Duration::from_millis(400);
/// Number of events of a stream that a target sends before it disconnects.
const EVENTS_BEFORE_BREAK: u64 = 3;
/// Timeout of the first announcement of a target that leaves, which a frozen instance doesn't answer.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(100);
/// Names of the data centres of the targets.
const DATA_CENTRES: [&str; plan::DATA_CENTRES] = ["suva", "nadi"];
/// Time within which a process that is asked to stop must have exited; longer than its own limit.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// A target with the proxy in front of it, and another one in front of that which tells the instances apart.
#[derive(Debug)]
struct Target {
    runner: Option<Runner>,
    proxy: Option<Proxy>,
    gate: Option<Gate>,
    /// Number of targets started under this index so far.
    generation: u32,
}

/// An instance that is cut off from targets.
#[derive(Clone, Copy, Debug)]
struct Cut {
    source: IpAddr,
    shape: Shape,
    services: Services,
}

/// The processes and targets of a run.
#[derive(Debug)]
pub struct Testbed {
    /// The processes.
    pub fleet: Fleet,
    /// What was observed so far.
    pub history: History,
    size: Size,
    proxies: Vec<Proxy>,
    targets: Vec<Target>,
    cuts: Vec<Cut>,
    /// The processes that were asked to stop and haven't been started again, with the event that asked them first.
    stopping: BTreeMap<Victim, Duration>,
    /// The request that ends targets.
    crashing: Option<Content>,
    /// Its arrivals at targets that were stopped.
    arrivals: Vec<Arrival>,
    start: Instant,
}

/// Whether a fault is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The fault is over.
    Ended,
    /// The process has not exited yet; the end has to be tried again.
    Pending,
}

impl Testbed {
    /// Starts all processes and targets.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when an address can't be listened on.
    pub async fn start(binary: &Path, name: &str, size: Size) -> io::Result<Testbed> {
        let mut fleet = Fleet::new(binary, name, Links::Proxied);
        for _ in 0..size.control {
            fleet.add_control(Start::First);
        }
        for _ in 0..size.entries {
            fleet.add_entry();
        }
        let proxies = fleet.proxies().await?;
        let mut testbed = Testbed {
            fleet,
            history: History::default(),
            size,
            proxies,
            targets: Vec::new(),
            cuts: Vec::new(),
            stopping: BTreeMap::new(),
            crashing: None,
            arrivals: Vec::new(),
            start: Instant::now(),
        };
        for number in 0..size.engines + size.plain_targets {
            let target = Target { runner: None, proxy: None, gate: None, generation: 0 };
            testbed.targets.push(target);
            testbed.start_target(number).await?;
        }
        Ok(testbed)
    }

    /// The instant from which times are measured.
    pub fn started(&self) -> Instant {
        self.start
    }

    /// Where callers connect.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.fleet.entries.iter().map(Daemon::callers).collect()
    }

    /// Has all targets, also those that start later, end when they begin to run requests with this content.
    pub fn set_crashing(&mut self, content: Content) {
        for runner in self.targets.iter().filter_map(|target| target.runner.as_ref()) {
            runner.set_crashing_content(Some(content.clone()));
        }
        self.crashing = Some(content);
    }

    /// The arrivals of requests that end targets at the targets that were stopped.
    pub fn crashing_arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    /// Injects a fault.
    pub async fn begin(&mut self, event: &Event) {
        let fault = event.fault;
        if let Victim::Entry(entry) = event.victim
            && matches!(fault, Fault::Kill | Fault::Stop | Fault::Freeze)
        {
            let from = self.start.elapsed();
            // The end is set when the process is started again or resumed.
            self.history.outages.push(Outage { entry, from, until: Duration::MAX });
        }
        let (victim, from) = (event.victim, self.start.elapsed());
        let disturbance = Disturbance { victim, fault, from, until: Duration::MAX };
        match fault {
            Fault::Pause | Fault::Hangup | Fault::DelayDatagrams => {}
            Fault::DropDatagrams => self.history.lost_datagrams.push(disturbance),
            _ => self.history.disturbances.push(disturbance),
        }
        match fault {
            Fault::Kill | Fault::Wipe => {
                self.stopping.remove(&event.victim);
                self.daemon(event.victim).kill();
            }
            Fault::Stop => {
                // A stop may last until the next one: that asks again, and the process is started once.
                self.stopping.entry(event.victim).or_insert(event.at);
                let daemon = self.daemon(event.victim);
                if daemon.is_running() {
                    daemon.signal(Signal::TERM);
                }
            }
            Fault::CutOff(shape, services) => self.cut_off(event.victim, shape, services),
            Fault::Hangup => {
                let daemon = self.daemon(event.victim);
                if daemon.is_running() {
                    daemon.signal(Signal::HUP);
                }
            }
            Fault::Freeze => self.daemon(event.victim).signal(Signal::STOP),
            Fault::Delay => {
                self.set(event.victim, Conditions { latency: DELAY, ..Conditions::default() });
            }
            Fault::HoldInbound => {
                self.set(
                    event.victim,
                    Conditions { upstream: Flow::Hold, ..Conditions::default() },
                );
            }
            Fault::HoldOutbound => {
                let conditions = Conditions { downstream: Flow::Hold, ..Conditions::default() };
                self.set(event.victim, conditions);
            }
            Fault::Refuse => {
                self.set(event.victim, Conditions { refuses: true, ..Conditions::default() });
            }
            Fault::DropDatagrams => self.set_datagrams(event.victim, Datagrams::Drop),
            Fault::DelayDatagrams => {
                self.set_datagrams(event.victim, Datagrams::Delay(DATAGRAM_DELAY));
            }
            Fault::Reset => self.with_proxy(event.victim, Proxy::reset_open),
            Fault::Silence => self.with_proxy(event.victim, Proxy::silence_open),
            Fault::Reject => self.set_behaviour(event.victim, Behaviour::Reject),
            Fault::Disconnect => {
                let plain =
                    matches!(event.victim, Victim::Target(number) if number >= self.size.engines);
                let after = if plain { 0 } else { EVENTS_BEFORE_BREAK };
                self.set_behaviour(event.victim, Behaviour::Disconnect(after));
            }
            Fault::Fail => self.set_behaviour(event.victim, Behaviour::Fail),
            Fault::Hang => self.set_behaviour(event.victim, Behaviour::Hang),
            Fault::Pause => self.pause(event.victim, event.duration),
            Fault::Replace => self.end_target(event.victim),
            Fault::Leave => self.announce_leave(event.victim).await,
        }
    }

    /// Ends an injected fault, or returns [`Progress::Pending`] while a process that was asked to stop still runs.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a target can't be started.
    pub async fn end(&mut self, event: &Event) -> io::Result<Progress> {
        match event.fault {
            Fault::Kill => self.daemon(event.victim).start(),
            Fault::Wipe => {
                if let Victim::Control(number) = event.victim {
                    self.fleet.wipe(number);
                    self.fleet.control[number].start();
                }
            }
            Fault::Stop if self.stopping.get(&event.victim) != Some(&event.at) => {}
            Fault::Stop => {
                let stops = self.history.disturbances.iter();
                let begun =
                    stops.filter(|other| other.victim == event.victim).map(|other| other.from);
                let begun = begun.max().unwrap_or(event.at);
                let overdue = self.start.elapsed() > begun + STOP_LIMIT;
                let daemon = self.daemon(event.victim);
                if daemon.is_running() && !overdue {
                    return Ok(Progress::Pending);
                }
                let code = daemon.wait_for_exit_within(Duration::ZERO).await;
                if code != Some(Some(0)) {
                    let what = format!("{} was asked to stop and ended with {code:?}", daemon.name);
                    daemon.kill();
                    self.history.unexpected_exits.push(what);
                }
                self.daemon(event.victim).start();
                self.stopping.remove(&event.victim);
            }
            Fault::Freeze => {
                self.daemon(event.victim).signal(Signal::CONT);
                if matches!(event.victim, Victim::Control(_)) {
                    self.history.resumed_at.push(self.start.elapsed());
                }
            }
            Fault::Delay | Fault::HoldInbound | Fault::HoldOutbound | Fault::Refuse => {
                self.set(event.victim, Conditions::default());
            }
            Fault::DropDatagrams | Fault::DelayDatagrams => {
                self.set_datagrams(event.victim, Datagrams::Pass);
            }
            Fault::CutOff(..) => self.link(event.victim),
            Fault::Reset | Fault::Silence | Fault::Pause | Fault::Hangup => {}
            Fault::Reject | Fault::Disconnect | Fault::Fail | Fault::Hang => {
                self.set_behaviour(event.victim, Behaviour::Serve);
            }
            Fault::Replace | Fault::Leave => {
                if let Victim::Target(number) = event.victim {
                    self.end_target(event.victim);
                    self.start_target(number).await?;
                }
            }
        }
        let until = self.start.elapsed();
        let History { disturbances, lost_datagrams, .. } = &mut self.history;
        let open = disturbances.iter_mut().chain(lost_datagrams);
        let open = open.filter(|other| other.victim == event.victim && other.fault == event.fault);
        open.for_each(|other| other.until = other.until.min(until));
        if let Victim::Entry(entry) = event.victim {
            let open = self.history.outages.iter_mut();
            let open = open.filter(|other| other.entry == entry && other.until == Duration::MAX);
            open.for_each(|outage| outage.until = until);
        }
        Ok(Progress::Ended)
    }

    /// Records processes that have exited unasked.
    pub fn note_ends(&mut self) {
        let daemons = self.fleet.control.iter_mut().chain(&mut self.fleet.entries);
        for daemon in daemons {
            if !daemon.is_running() {
                self.history.unexpected_exits.push(format!("{} ended by itself", daemon.name));
            }
        }
    }

    /// Asks all processes to stop and collects the records of the targets.
    pub async fn stop(&mut self) {
        let daemons = || self.fleet.control.iter().chain(&self.fleet.entries);
        daemons().for_each(|daemon| daemon.signal(Signal::TERM));
        for daemon in self.fleet.control.iter_mut().chain(&mut self.fleet.entries) {
            let code = daemon.wait_for_exit_within(STOP_LIMIT).await;
            if code != Some(Some(0)) {
                let what = format!("{} was asked to stop and ended with {code:?}", daemon.name);
                self.history.unexpected_exits.push(what);
            }
        }
        for number in 0..self.targets.len() {
            self.end_target(Victim::Target(number));
        }
    }

    fn daemon(&mut self, victim: Victim) -> &mut Daemon {
        match victim {
            Victim::Control(number) => &mut self.fleet.control[number],
            Victim::Entry(number) => &mut self.fleet.entries[number],
            Victim::Target(_) | Victim::DataCentre(_) | Victim::Targets => {
                unreachable!("invariant: only processes get signals")
            }
        }
    }

    fn with_proxy(&self, victim: Victim, act: impl Fn(&Proxy)) {
        let proxy = match victim {
            Victim::Control(number) => self.proxies.get(number),
            Victim::Entry(number) => self.proxies.get(self.size.control + number),
            Victim::Target(number) => self.targets[number].proxy.as_ref(),
            Victim::DataCentre(_) | Victim::Targets => None,
        };
        proxy.into_iter().for_each(act);
    }

    fn set(&self, victim: Victim, conditions: Conditions) {
        self.with_proxy(victim, |proxy| proxy.set(conditions));
    }

    fn set_datagrams(&self, victim: Victim, datagrams: Datagrams) {
        self.with_proxy(victim, |proxy| proxy.set_datagrams(datagrams));
    }

    fn set_behaviour(&self, victim: Victim, behaviour: Behaviour) {
        if let Victim::Target(number) = victim {
            let runner = self.targets[number].runner.as_ref();
            runner.into_iter().for_each(|runner| runner.set_behaviour(behaviour));
        }
    }

    fn pause(&self, victim: Victim, time: Duration) {
        let is_meant = |number: usize| match victim {
            Victim::Target(target) => target == number,
            Victim::DataCentre(data_centre) => data_centre == number % DATA_CENTRES.len(),
            Victim::Targets => true,
            Victim::Control(_) | Victim::Entry(_) => false,
        };
        for (_, target) in self.targets.iter().enumerate().filter(|(number, _)| is_meant(*number)) {
            if let Some(runner) = &target.runner {
                runner.pause(time);
            }
        }
    }

    fn cut_off(&mut self, victim: Victim, shape: Shape, services: Services) {
        let cut = Cut { source: self.daemon(victim).callers().ip(), shape, services };
        self.cuts.push(cut);
        (0..self.targets.len()).for_each(|number| self.apply(cut, number));
    }

    /// Applies a cut to a target of its services.
    fn apply(&self, cut: Cut, number: usize) {
        let services = if number < self.size.engines { Services::Engines } else { Services::Plain };
        if let Some(gate) = &self.targets[number].gate
            && cut.services.include(services)
        {
            gate.cut(&[cut.source], cut.shape);
        }
    }

    fn link(&mut self, victim: Victim) {
        let source = self.daemon(victim).callers().ip();
        self.cuts.retain(|cut| cut.source != source);
        let gates = self.targets.iter().filter_map(|target| target.gate.as_ref());
        gates.for_each(|gate| gate.heal(&[source]));
    }

    async fn announce_leave(&self, victim: Victim) {
        let Victim::Target(number) = victim else {
            return;
        };
        if let Some(runner) = &self.targets[number].runner {
            // If this announcement is lost, its next ones say the same.
            let announced = runner.drain(self.fleet.control[0].control());
            let _acknowledged = time::timeout(ANNOUNCEMENT_TIMEOUT, announced).await;
        }
    }

    async fn start_target(&mut self, number: usize) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy::start(listener.local_addr()?).await?;
        let gate = Gate::start(proxy.address())?;
        let target = &mut self.targets[number];
        target.generation += 1;
        let is_engine = number < self.size.engines;
        let runner = Runner::start_with(Options {
            name: format!("target-{number}-{}", target.generation),
            service: String::from(if is_engine { "engines" } else { "portal" }),
            stage: is_engine.then_some("decode"),
            software: String::from("v1"),
            data_centre: String::from(DATA_CENTRES[number % DATA_CENTRES.len()]),
            events: if is_engine { EVENTS } else { 0 },
            control: self.fleet.control_addresses(),
            listener,
            announced_address: gate.address(),
        });
        runner.set_crashing_content(self.crashing.clone());
        target.runner = Some(runner);
        target.proxy = Some(proxy);
        target.gate = Some(gate);
        self.cuts.iter().for_each(|cut| self.apply(*cut, number));
        Ok(())
    }

    /// Stops a target and adds its records to the history.
    fn end_target(&mut self, victim: Victim) {
        let Victim::Target(number) = victim else {
            return;
        };
        let target = &mut self.targets[number];
        (target.proxy, target.gate) = (None, None);
        let Some(runner) = target.runner.take() else {
            return;
        };
        let name = runner.name.clone();
        let (runs, endings) = (runner.runs(), runner.endings());
        let unfinished = runs.iter().filter(|run| endings.iter().all(|ending| ending.id != run.id));
        if number < self.size.engines {
            let at = self.start.elapsed();
            let broken_off = unfinished.map(|run| BrokenOff { request: run.id.clone(), at });
            self.history.broken_off.extend(broken_off);
        }
        self.history.runs.extend(runs.into_iter().map(|run| (name.clone(), run)));
        for ending in endings {
            let since_start =
                |at: std::time::Instant| at.saturating_duration_since(self.start.into_std());
            let (request, at) = (ending.id, since_start(ending.at));
            let (due, closed) = match ending.end {
                End::Whole => (at, None),
                End::Closed { due } => (since_start(due), Some(at)),
                End::Own => {
                    if ending.sent > 0 && number < self.size.engines {
                        self.history.broken_off.push(BrokenOff { request, at });
                    }
                    continue;
                }
            };
            self.history.answers.push(Answer { target: number, request, due, closed });
        }
        let since_start = |at| Instant::from_std(at).duration_since(self.start);
        self.history.crashing.crashes.extend(runner.crashes().into_iter().map(since_start));
        if let Some(content) = &self.crashing {
            self.arrivals.extend(runner.requests_with_content(content));
        }
        for order in runner.orders() {
            let at = order.at.saturating_duration_since(self.start.into_std());
            let holder = order.body["holder"].as_str().unwrap_or_default().to_owned();
            let fence = order.body["fence"].as_u64().unwrap_or_default();
            self.history.orders.push(Order { target: name.clone(), at, holder, fence });
        }
    }
}
