//! Seeded plans of faults.

use std::time::Duration;

use common::random::Random;
use derive_more::Display;

/// Processes and targets of a run.
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

/// A process or target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Victim {
    /// An instance that keeps state.
    #[display("control {_0}")]
    Control(usize),
    /// An instance that serves callers.
    #[display("entry {_0}")]
    Entry(usize),
    /// A target: engines first, then plain ones.
    #[display("target {_0}")]
    Target(usize),
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
    /// Its process is asked to stop, and started again once it has.
    #[display("stop")]
    Stop,
    /// Its process is frozen.
    #[display("freeze")]
    Freeze,
    /// Bytes to it and back are slow.
    #[display("delay")]
    Delay,
    /// What others send it is held.
    #[display("cut towards")]
    HoldInbound,
    /// What it answers is held.
    #[display("cut back")]
    HoldOutbound,
    /// New connections are reset.
    #[display("refuse")]
    Refuse,
    /// Open connections are reset.
    #[display("reset")]
    Reset,
    /// Open connections go silent for good.
    #[display("silence")]
    Silence,
    /// It rejects requests without running them.
    #[display("shed")]
    Reject,
    /// It breaks off its answers.
    #[display("break off")]
    Disconnect,
    /// It answers with failures.
    #[display("fail")]
    Fail,
    /// It takes requests and says nothing.
    #[display("mute")]
    Hang,
    /// It is gone at once, and another one starts elsewhere.
    #[display("replace")]
    Replace,
    /// It announces that it leaves; another one starts elsewhere.
    #[display("leave")]
    Leave,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; a process that was killed starts again after that.
    pub duration: Duration,
    /// Whom it hits.
    pub victim: Victim,
    /// What happens.
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
/// Mean time between the begins of two faults.
const PAUSE: Duration = Duration::from_millis(700);
/// Longest fault.
const MAX_LASTS: Duration = Duration::from_millis(3_500);
/// Longest fault of an instance that keeps state: long enough for others to change the configuration and for the bound
/// on older reads to pass.
const MAX_CONTROL_LASTS: Duration = Duration::from_secs(6);
const MIN_LASTS: Duration = Duration::from_millis(300);
/// One plan in so many kills all instances that keep state at one moment.
const ALL_KILLED_ONE_IN: usize = 4;

/// Draws the faults of a run.
///
/// A victim suffers one fault at a time. One disk at most is lost in a run, and that only while no other instance
/// that keeps state is disturbed: a fleet of three bears the loss of one.
pub fn draw(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut random = Random::new(seed);
    let mut events: Vec<Event> = Vec::new();
    let mut at = Duration::ZERO;
    if random.below(ALL_KILLED_ONE_IN) == 0 {
        let begin = length.mul_f64(0.3 + 0.4 * random.unit());
        for number in 0..size.control {
            let (victim, fault) = (Victim::Control(number), Fault::Kill);
            events.push(Event { at: begin, duration: MIN_LASTS, victim, fault });
        }
    }
    loop {
        at += PAUSE.mul_f64(2.0 * random.unit());
        if at >= length {
            break;
        }
        let (victim, fault) = draw_one(&mut random, size);
        let duration = match victim {
            Victim::Control(_) => (MAX_CONTROL_LASTS - MIN_LASTS).mul_f64(random.unit()),
            Victim::Entry(_) | Victim::Target(_) => {
                (MAX_LASTS - MIN_LASTS).mul_f64(random.unit().powi(2))
            }
        };
        let duration = MIN_LASTS + duration;
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

/// Time that a process needs after a fault until it has caught up, the operators' bound.
const CATCH_UP: Duration = Duration::from_secs(4);

fn is_allowed(event: &Event, other: &Event) -> bool {
    let overlaps = event.at <= other.at + other.duration + CATCH_UP
        && other.at <= event.at + event.duration + CATCH_UP;
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
