//! Plans of the faults to inject, drawn from a seed.

use std::time::Duration;

use common::random::Random;
use derive_more::Display;
use standin::partition::Shape;

/// Number of data centres, to which the targets belong in turn.
pub const DATA_CENTRES: usize = 2;

/// Number of processes and targets of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Instances that keep state; at least three.
    pub control: usize,
    /// Instances that serve callers.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Plain targets.
    pub plain_targets: usize,
}

/// A process or target that a fault is injected into.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Victim {
    /// An instance that keeps state.
    #[display("control {_0}")]
    Control(usize),
    /// An instance that serves callers.
    #[display("entry {_0}")]
    Entry(usize),
    /// A target; the engines come first, then the plain targets.
    #[display("target {_0}")]
    Target(usize),
    /// All targets of a data centre.
    #[display("targets of data centre {_0}")]
    DataCentre(usize),
    /// All targets.
    #[display("all targets")]
    Targets,
}

/// What happens to a victim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// Its process is killed and started again.
    #[display("kill")]
    Kill,
    /// Its process is killed and started again on an empty disk.
    #[display("wipe")]
    Wipe,
    /// Its process is asked to stop, and started again once it has exited.
    #[display("stop")]
    Stop,
    /// It is cut off from the targets of services, which others reach.
    #[display("cut off from {_1} ({_0:?})")]
    CutOff(Shape, Services),
    /// Its process is told to read its settings again.
    #[display("hang up")]
    Hangup,
    /// Its process is frozen.
    #[display("freeze")]
    Freeze,
    /// Traffic in both directions is delayed.
    #[display("delay")]
    Delay,
    /// Traffic towards it is held.
    #[display("cut towards")]
    HoldInbound,
    /// Traffic from it, on connections that others opened, is held.
    #[display("cut back")]
    HoldOutbound,
    /// New connections are reset.
    #[display("refuse")]
    Refuse,
    /// Open connections are reset.
    #[display("reset")]
    Reset,
    /// Open connections deliver nothing any more, without a reset.
    #[display("silence")]
    Silence,
    /// It rejects requests without running them.
    #[display("shed")]
    Reject,
    /// It disconnects in the middle of its responses.
    #[display("break off")]
    Disconnect,
    /// It responds with errors.
    #[display("fail")]
    Fail,
    /// It accepts requests and never responds.
    #[display("mute")]
    Hang,
    /// Datagrams of others to it are lost.
    #[display("drop datagrams")]
    DropDatagrams,
    /// Datagrams of others to it are delayed.
    #[display("delay datagrams")]
    DelayDatagrams,
    /// It sends nothing, and goes on afterwards.
    #[display("pause")]
    Pause,
    /// It stops at once, and another one starts at another address.
    #[display("replace")]
    Replace,
    /// It announces that it leaves; another one starts at another address.
    #[display("leave")]
    Leave,
}

/// The services whose targets an instance doesn't reach.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Services {
    /// Those of engines.
    #[display("engines")]
    Engines,
    /// Those of plain targets.
    #[display("plain targets")]
    Plain,
    /// All.
    #[display("all targets")]
    All,
}

impl Services {
    /// Whether those of engines, or else those of plain targets, are among them.
    pub fn include(self, other: Services) -> bool {
        self == Services::All || self == other
    }
}

/// A planned fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; a process that was killed starts again after that.
    pub duration: Duration,
    /// The process or target that it is injected into.
    pub victim: Victim,
    /// The fault.
    pub fault: Fault,
}

const CONTROL_FAULTS: [Fault; 9] = [
    Fault::Kill,
    Fault::Wipe,
    Fault::Stop,
    Fault::Freeze,
    Fault::Delay,
    Fault::HoldInbound,
    Fault::HoldOutbound,
    Fault::Reset,
    Fault::Silence,
];
const ENTRY_FAULTS: [Fault; 5] =
    [Fault::Kill, Fault::Stop, Fault::Freeze, Fault::HoldInbound, Fault::Reset];
const TARGET_FAULTS: [Fault; 12] = [
    Fault::Delay,
    Fault::HoldInbound,
    Fault::HoldOutbound,
    Fault::Refuse,
    Fault::Reset,
    Fault::Silence,
    Fault::Reject,
    Fault::Disconnect,
    Fault::Fail,
    Fault::Hang,
    Fault::Replace,
    Fault::Leave,
];
/// Mean interval between the starts of two faults.
const MEAN_INTERVAL: Duration = Duration::from_millis(700);
/// Longest fault of other instances and of targets.
const MAX_DURATION: Duration = Duration::from_millis(3_500);
/// Longest fault of an instance that keeps state: long enough for others to change the configuration and for the bound
/// on stale reads to expire.
const MAX_CONTROL_DURATION: Duration = Duration::from_secs(6);
const MIN_DURATION: Duration = Duration::from_millis(300);
/// One plan in this many kills all instances that keep state at the same time.
const PLANS_PER_FULL_KILL: usize = 4;

/// Mean interval between two pauses or other events that are no faults.
const MEAN_WORK_INTERVAL: Duration = Duration::from_millis(600);
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Has pauses and planned work drawn independently of the faults of the same seed.
const WORK_SEED: u64 = 0x7061_7573_6573;

/// Draws what sound targets and operators do beside the faults of a run: pauses, and instances that are told to read
/// their settings or to stop.
pub fn draw_work(seed: u64, size: Size, length: Duration, faults: &[Event]) -> Vec<Event> {
    let mut random = Random::new(seed ^ WORK_SEED);
    let mut events: Vec<Event> = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += MEAN_WORK_INTERVAL.mul_f64(2.0 * random.unit());
        if at >= length {
            return events;
        }
        let (victim, fault) = match random.below(8) {
            0..3 => {
                let target = random.below(size.engines + size.plain_targets);
                (Victim::Target(target), Fault::Pause)
            }
            3 => (Victim::DataCentre(random.below(DATA_CENTRES)), Fault::Pause),
            4..6 => (Victim::Targets, Fault::Pause),
            6 => (Victim::Entry(random.below(size.entries)), Fault::Hangup),
            _ => (Victim::Entry(random.below(size.entries)), Fault::Stop),
        };
        let duration = match fault {
            Fault::Pause => MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE).mul_f64(random.unit()),
            _ => MIN_DURATION,
        };
        let event = Event { at, duration, victim, fault };
        if faults.iter().chain(&events).all(|other| is_allowed(&event, other)) {
            events.push(event);
        }
    }
}

const SHAPES: [Shape; 3] = [Shape::Hang, Shape::Reset, Shape::Refuse];
const LOST_SERVICES: [Services; 3] = [Services::Engines, Services::Plain, Services::All];
/// Time before each cut in which the instances recover from the last one.
const MIN_LINKED: Duration = Duration::from_secs(2);
const MAX_LINKED: Duration = Duration::from_secs(4);
/// Cuts last longer than the operators' bound on the time until callers are served again.
const MIN_CUT: Duration = Duration::from_millis(5_500);
const MAX_CUT: Duration = Duration::from_millis(7_500);
/// Has cuts drawn independently of the faults of the same seed.
const CUT_SEED: u64 = 0x6375_7473;

/// Draws the cuts of a run: one after the other, one instance that serves callers or all but one lose the targets of
/// services. These instances have no fault of `events` meanwhile, nor has the only one that is left.
pub fn draw_cuts(seed: u64, size: Size, length: Duration, events: &mut Vec<Event>) {
    let mut random = Random::new(seed ^ CUT_SEED);
    let mut at = Duration::ZERO;
    loop {
        at += MIN_LINKED + (MAX_LINKED - MIN_LINKED).mul_f64(random.unit());
        if at >= length {
            return;
        }
        let duration = MIN_CUT + (MAX_CUT - MIN_CUT).mul_f64(random.unit());
        let shape = SHAPES[random.below(SHAPES.len())];
        let fault = Fault::CutOff(shape, LOST_SERVICES[random.below(LOST_SERVICES.len())]);
        let (one, all_but_one) = (random.below(size.entries), random.below(2) == 0);
        let cut = |entry| Event { at, duration, victim: Victim::Entry(entry), fault };
        let is_cut_off = |entry: &usize| (*entry == one) != all_but_one;
        let calm = (0..size.entries).filter(|entry| all_but_one || *entry == one);
        let calm: Vec<Event> = calm.map(cut).collect();
        events.retain(|event| {
            matches!(event.fault, Fault::CutOff(..))
                || calm.iter().all(|other| is_allowed(event, other))
        });
        events.extend((0..size.entries).filter(is_cut_off).map(cut));
        at += duration;
    }
}

/// Mean interval between the starts of two faults of datagrams.
const MEAN_DATAGRAM_INTERVAL: Duration = Duration::from_millis(1_500);
/// Has faults of datagrams drawn independently of the other faults of the same seed.
const DATAGRAM_SEED: u64 = 0x6461_7467;

/// Draws faults of the datagrams to instances that serve callers. They may lie beside all other faults, but not beside another
/// one of the same instance.
pub fn draw_datagram_faults(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut random = Random::new(seed ^ DATAGRAM_SEED);
    let mut events: Vec<Event> = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += MEAN_DATAGRAM_INTERVAL.mul_f64(2.0 * random.unit());
        if at >= length {
            return events;
        }
        let victim = Victim::Entry(random.below(size.entries));
        let fault = [Fault::DropDatagrams, Fault::DelayDatagrams][random.below(2)];
        let duration = MIN_DURATION + (MAX_DURATION - MIN_DURATION).mul_f64(random.unit());
        let mut same = events.iter().filter(|other| other.victim == victim);
        if same.all(|other| at > other.at + other.duration) {
            events.push(Event { at, duration, victim, fault });
        }
    }
}

/// Draws the faults of a run.
///
/// Faults of one victim don't overlap. At most one disk is lost in a run, and only while no other instance that keeps
/// state has a fault: a fleet of three tolerates the loss of one.
pub fn draw(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut random = Random::new(seed);
    let mut events: Vec<Event> = Vec::new();
    let mut at = Duration::ZERO;
    if random.below(PLANS_PER_FULL_KILL) == 0 {
        let begin = length.mul_f64(0.3 + 0.4 * random.unit());
        for number in 0..size.control {
            let (victim, fault) = (Victim::Control(number), Fault::Kill);
            events.push(Event { at: begin, duration: MIN_DURATION, victim, fault });
        }
    }
    loop {
        at += MEAN_INTERVAL.mul_f64(2.0 * random.unit());
        if at >= length {
            break;
        }
        let (victim, fault) = draw_one(&mut random, size);
        let duration = match victim {
            Victim::Control(_) => (MAX_CONTROL_DURATION - MIN_DURATION).mul_f64(random.unit()),
            Victim::Entry(_) | Victim::Target(_) | Victim::DataCentre(_) | Victim::Targets => {
                (MAX_DURATION - MIN_DURATION).mul_f64(random.unit().powi(2))
            }
        };
        let duration = MIN_DURATION + duration;
        let event = Event { at, duration, victim, fault };
        if events.iter().all(|other| is_allowed(&event, other)) {
            events.push(event);
        }
    }
    events.sort_by_key(|event| event.at);
    events
}

fn draw_one(random: &mut Random, size: Size) -> (Victim, Fault) {
    let targets = size.engines + size.plain_targets;
    match random.below(10) {
        0..3 => {
            let fault = CONTROL_FAULTS[random.below(CONTROL_FAULTS.len())];
            (Victim::Control(random.below(size.control)), fault)
        }
        3..5 => {
            let fault = ENTRY_FAULTS[random.below(ENTRY_FAULTS.len())];
            (Victim::Entry(random.below(size.entries)), fault)
        }
        _ => {
            let fault = TARGET_FAULTS[random.below(TARGET_FAULTS.len())];
            (Victim::Target(random.below(targets)), fault)
        }
    }
}

/// Time that a process needs after a fault to catch up: the operators' bound.
const CATCH_UP: Duration = Duration::from_secs(4);

fn is_allowed(event: &Event, other: &Event) -> bool {
    // A target that pauses has nothing to catch up with.
    let pauses = event.fault == Fault::Pause || other.fault == Fault::Pause;
    let margin = if pauses { Duration::ZERO } else { CATCH_UP };
    let overlaps = event.at <= other.at + other.duration + margin
        && other.at <= event.at + event.duration + margin;
    let same = event.victim == other.victim;
    let wipes = [event, other].iter().filter(|event| event.fault == Fault::Wipe).count();
    let both_control =
        matches!((event.victim, other.victim), (Victim::Control(_), Victim::Control(_)));
    match wipes {
        0 => !(same && overlaps),
        1 => !((same || both_control) && overlaps),
        _ => false,
    }
}
