//! All interleavings of a small fleet, to a bounded depth: one instance begins a stream, another one takes it up, and three
//! control instances keep its origin, while a second version comes, the first one goes, instances restart, lose their disk
//! or are cut off, and messages are lost. The decisions are those of `placement::continuity`.
//!
//! A record that was sent may arrive at any later time, also after it was withdrawn.

use std::time::Duration;

use common::{clock::Moment, collections::Set, name};
use fleet::exchange::Origin;
use placement::continuity::{
    self, Answers, Decision, Versions,
    ledger::Ledger,
    tally::{Outcome, Tally},
    testimony::{self, Verdict},
};

/// Steps of time, which are as long as instances may differ in what they know, and the last one.
const TICK_MS: u64 = 2_000;
const LAST_TICK: u8 = 7;
/// Longest lifetime of a stream that need not be recorded, and what is added to lifetimes.
const UNRECORDED: Duration = Duration::from_secs(6);
const MARGIN: Duration = Duration::from_secs(2);
const RETENTION_TICKS: u8 = 4;
/// Steps from each of the starts.
const DEPTH: usize = 6;
const CONTROL: usize = 3;
const FIRST: u8 = 1;
const SECOND: u8 = 2;
/// Run in the record of a stream that has begun already.
const DECIDED: u8 = 9;
/// How long the first version and the records have been there at tick 0.
const BEFORE_MS: u64 = 100_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Control {
    /// When it learnt that the second version came, and the first one went; 0 for never.
    second_at: u8,
    first_gone_at: u8,
    /// Origin that it keeps: version and run.
    kept: Option<(u8, u8)>,
    /// When it lost its disk.
    wiped_at: u8,
    is_cut_off: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Stream {
    #[default]
    None,
    /// The origin is being recorded: who was not sent it yet, and who has acknowledged it.
    Recording { version: u8, life: Life, unsent: u8, kept: u8 },
    /// It has ended before its first event.
    Ended,
    /// The caller has received an event. What was recorded may have been another version; who may still receive that.
    Begun { version: u8, life: Life, at: u8, late: u8, is_recorded: bool },
}

/// Whether the stream may be taken up for longer than versions are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Life {
    Short,
    Long,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u8,
    /// When the second version came and the first one went; 0 for never.
    second_at: u8,
    first_gone_at: u8,
    control: [Control; CONTROL],
    /// What the instance that begins the stream knows: when it learnt of both.
    knows_second_at: u8,
    knows_first_gone_at: u8,
    stream: Stream,
    wipes: u8,
    restarts: u8,
}

fn at(tick: u8) -> Moment {
    Moment(BEFORE_MS + u64::from(tick) * TICK_MS)
}

fn software(version: u8) -> name::Software {
    name::Software(format!("v{version}"))
}

/// The versions that an instance knows which learnt at these ticks that the second came and the first went.
fn versions(state: &State, second_at: u8, first_gone_at: u8, since: Moment) -> Versions {
    let now = at(state.tick);
    let mut versions = Versions::default();
    let last = if first_gone_at > 0 { at(first_gone_at) } else { now };
    versions.learn(&software(FIRST), since, last.max(since));
    if second_at > 0 {
        // The ages travel with the versions.
        versions.learn(&software(SECOND), at(second_at).max(since), now);
    }
    versions.expire(retention() + MARGIN, now);
    versions
}

fn retention() -> Duration {
    UNRECORDED + MARGIN
}

fn origin(version: u8, run: u8) -> Origin {
    let service = name::Service::from("engines");
    Origin { service, software: software(version), run: u32::from(run) }
}

impl State {
    fn new() -> State {
        State {
            tick: 0,
            second_at: 0,
            first_gone_at: 0,
            control: [Control::default(); CONTROL],
            knows_second_at: 0,
            knows_first_gone_at: 0,
            stream: Stream::None,
            wipes: 0,
            restarts: 0,
        }
    }

    /// What the instance that begins the stream knows. It learns the ages from control instances.
    fn known(&self) -> Versions {
        let second_at = if self.knows_second_at > 0 { self.second_at } else { 0 };
        versions(self, second_at, self.knows_first_gone_at, Moment(0))
    }

    /// All states that follow.
    fn next(&self) -> Vec<State> {
        let mut next = Vec::new();
        let mut push = |state: State| {
            if state != *self {
                next.push(state);
            }
        };
        if self.tick < LAST_TICK {
            push(State { tick: self.tick + 1, ..*self });
        }
        if self.second_at == 0 && self.tick > 0 {
            push(State { second_at: self.tick, ..*self });
        }
        if self.second_at > 0 && self.first_gone_at == 0 {
            push(State { first_gone_at: self.tick, ..*self });
        }
        for number in 0..CONTROL {
            self.control_steps(number).into_iter().for_each(&mut push);
        }
        self.stream_steps().into_iter().for_each(&mut push);
        next
    }

    fn with_control(&self, number: usize, control: Control) -> State {
        let mut state = *self;
        state.control[number] = control;
        state
    }

    fn control_steps(&self, number: usize) -> Vec<State> {
        let control = self.control[number];
        let mut next = Vec::new();
        next.push(
            self.with_control(number, Control { is_cut_off: !control.is_cut_off, ..control }),
        );
        if control.is_cut_off {
            return next;
        }
        if self.second_at > 0 && control.second_at == 0 {
            next.push(self.with_control(number, Control { second_at: self.tick, ..control }));
        }
        if self.first_gone_at > 0 && control.first_gone_at == 0 {
            next.push(self.with_control(number, Control { first_gone_at: self.tick, ..control }));
        }
        // Another instance learns from it.
        if control.second_at > 0 && self.knows_second_at == 0 {
            next.push(State { knows_second_at: self.tick, ..*self });
        }
        if control.first_gone_at > 0 && self.knows_first_gone_at == 0 && self.knows_second_at > 0 {
            next.push(State { knows_first_gone_at: self.tick, ..*self });
        }
        if self.wipes == 0 && self.tick > 0 {
            // It learns the targets again at once, from their announcements.
            let wiped = Control {
                second_at: if self.second_at > 0 { self.tick } else { 0 },
                wiped_at: self.tick,
                kept: None,
                ..control
            };
            next.push(State { wipes: 1, ..self.with_control(number, wiped) });
        }
        next
    }

    fn stream_steps(&self) -> Vec<State> {
        let mut next = Vec::new();
        match self.stream {
            Stream::None => {
                let known = self.known();
                let settled = known.settled(retention(), at(self.tick)).is_some();
                for version in [FIRST, SECOND] {
                    let serves = if version == FIRST {
                        self.first_gone_at == 0
                    } else {
                        self.second_at > 0 && self.knows_second_at > 0
                    };
                    if !serves || !known.contains(&software(version)) {
                        continue;
                    }
                    for life in [Life::Short, Life::Long] {
                        let stream = if settled && life == Life::Short {
                            self.begun(version, life, 0, false)
                        } else {
                            recording(version, life)
                        };
                        next.push(State { stream, ..*self });
                    }
                }
                if self.restarts == 0 && self.knows_second_at > 0 {
                    // A restarted instance learns from whom it reaches.
                    next.push(State { restarts: 1, knows_first_gone_at: 0, ..*self });
                }
            }
            Stream::Recording { version, life, unsent, kept } => {
                for number in (0..CONTROL).filter(|number| unsent & (1 << number) != 0) {
                    let unsent = unsent & !(1 << number);
                    // It doesn't arrive yet, or its acknowledgement is lost.
                    let sent = Stream::Recording { version, life, unsent, kept };
                    next.push(State { stream: sent, ..*self });
                    if !self.control[number].is_cut_off {
                        let mut state = self.with_record(number, version);
                        state.stream = sent;
                        next.push(state);
                        let kept = kept | (1 << number);
                        state.stream = Stream::Recording { version, life, unsent, kept };
                        next.push(state);
                    }
                }
                next.push(self.decide(version, life, unsent, kept));
            }
            Stream::Ended => {}
            Stream::Begun { version, life, at, late, is_recorded } => {
                let other = if version == FIRST { SECOND } else { FIRST };
                if life == Life::Long && !is_recorded {
                    next.push(self.record_again(version, at, late));
                }
                for number in (0..CONTROL).filter(|number| late & (1 << number) != 0) {
                    let late = late & !(1 << number);
                    let mut state = self.with_record(number, other);
                    state.stream = Stream::Begun { version, life, at, late, is_recorded };
                    next.push(state);
                }
            }
        }
        next
    }

    /// A control instance receives the record.
    fn with_record(&self, number: usize, version: u8) -> State {
        let control = self.control[number];
        // A record makes the version known.
        let second_at = match (version, control.second_at) {
            (SECOND, 0) => self.tick,
            (_, second_at) => second_at,
        };
        let kept = control.kept.filter(|(_, run)| *run == DECIDED).or(Some((version, 0)));
        self.with_control(number, Control { kept, second_at, ..control })
    }

    fn begun(&self, version: u8, life: Life, late: u8, is_recorded: bool) -> Stream {
        Stream::Begun { version, life, at: self.tick, late, is_recorded }
    }

    /// The instance records at all control instances that it reaches where a long-lived stream has begun.
    fn record_again(&self, version: u8, at: u8, late: u8) -> State {
        let mut state = *self;
        let mut kept = 0;
        for number in (0..CONTROL).filter(|number| !self.control[*number].is_cut_off) {
            state = state.with_record(number, version);
            state.control[number].kept = Some((version, DECIDED));
            kept += 1;
        }
        let is_recorded = kept >= testimony::majority(CONTROL);
        state.stream = Stream::Begun { version, life: Life::Long, at, late, is_recorded };
        state
    }

    /// The instance decides where the stream begins, and its caller receives an event.
    fn decide(&self, version: u8, life: Life, unsent: u8, kept: u8) -> State {
        let mut tally = Tally {
            control: CONTROL,
            sent: CONTROL - unsent.count_ones() as usize,
            kept: kept.count_ones() as usize,
            ..Tally::default()
        };
        let outcome = tally.withdraw();
        let known = self.known();
        let oldest = known.oldest(retention()).filter(|oldest| **oldest != software(version));
        let mut state = *self;
        let Some(oldest) = oldest.filter(|_| outcome != Outcome::Recorded) else {
            state.stream = self.begun(version, life, 0, outcome == Outcome::Recorded);
            return state;
        };
        let oldest = if *oldest == software(FIRST) { FIRST } else { SECOND };
        let serves = oldest == SECOND || self.first_gone_at == 0;
        // Without targets of that version the stream ends before its first event.
        state.stream = if serves && outcome == Outcome::Unrecorded {
            let late = !unsent & !kept & ((1 << CONTROL) - 1);
            self.begun(oldest, life, late, false)
        } else {
            Stream::Ended
        };
        state
    }

    /// Where the stream goes on if these control instances answer.
    fn take_up(&self, answering: u8) -> Decision {
        let now = at(self.tick);
        let mut testimonies = Vec::new();
        for number in (0..CONTROL).filter(|number| answering & (1 << number) != 0) {
            let control = self.control[number];
            let since = if control.wiped_at > 0 { at(control.wiped_at) } else { Moment(0) };
            let mut ledger = Ledger::new(since);
            if control.wiped_at == 0 {
                ledger.restore(Moment::default());
            }
            if let Some((version, run)) = control.kept {
                ledger.keep("s", origin(version, run), now + retention(), now);
            }
            let versions = versions(self, control.second_at, control.first_gone_at, since);
            testimonies.push(ledger.testify("s", Some(&versions), now));
        }
        let answers = match testimony::judge(&testimonies, CONTROL, retention()) {
            Verdict::Recorded(origin) => Answers::Known(origin),
            Verdict::Unrecorded => Answers::Unrecorded(testimonies),
            Verdict::Unclear => Answers::Missing,
        };
        continuity::decide(None, answers, retention())
    }

    /// Checks all answers that an instance may get that takes the stream up now.
    fn check(&self) {
        let Stream::Begun { version, life, at, is_recorded, .. } = self.stream else {
            return;
        };
        let is_old = self.tick - at >= RETENTION_TICKS;
        if is_old && (life == Life::Short || !is_recorded) {
            return;
        }
        let bits = |is: &dyn Fn(&Control) -> bool| -> u8 {
            let numbers = (0..CONTROL).filter(|number| is(&self.control[*number]));
            numbers.map(|number| 1 << number).sum()
        };
        let reached = bits(&|control| !control.is_cut_off);
        for answering in (0..(1 << CONTROL)).filter(|answering| answering & !reached == 0) {
            if let Decision::At { software: on, .. } = self.take_up(answering) {
                assert_eq!(on, software(version), "{answering:03b} of {self:#?}");
            }
        }
        let keeping = bits(&|control| {
            !control.is_cut_off && control.kept.is_some_and(|(kept, _)| kept == version)
        });
        if keeping.count_ones() as usize >= testimony::majority(CONTROL) {
            let goes_on = self.take_up(reached) != Decision::Refuse;
            assert!(goes_on, "a recorded stream is refused: {self:#?}");
        }
    }
}

/// Fleets in which the second version has not come, has just come, or came some ticks ago and all know of it, with the
/// stream not begun or just about to be recorded.
fn starts() -> Vec<State> {
    let mut starts = vec![State::new()];
    for second_at in 1..=4 {
        for tick in [second_at, second_at + 1, LAST_TICK - 2] {
            let mut state = State { tick, second_at, knows_second_at: second_at, ..State::new() };
            state.control.iter_mut().for_each(|control| control.second_at = second_at);
            starts.push(state);
            for version in [FIRST, SECOND] {
                let stream = recording(version, Life::Short);
                starts.push(State { stream, ..state });
                let unknown = Control::default();
                starts.push(State {
                    stream,
                    control: [state.control[0], unknown, unknown],
                    ..state
                });
            }
        }
    }
    starts.extend(replaced());
    starts
}

/// Fleets in which the second version has replaced the first, while a long-lived stream of either runs that has just been
/// recorded, or can't have been.
fn replaced() -> Vec<State> {
    let mut starts = Vec::new();
    for (version, kept) in [(FIRST, 0), (FIRST, 0b011), (FIRST, 0b111), (SECOND, 0b011)] {
        for tick in [3, LAST_TICK - 1] {
            let state = State { tick: 2, second_at: 1, knows_second_at: 1, ..State::new() };
            let stream = state.begun(version, Life::Long, 0, kept != 0);
            let mut state =
                State { tick, first_gone_at: 2, knows_first_gone_at: 2, stream, ..state };
            for (number, control) in state.control.iter_mut().enumerate() {
                let is_kept = kept & (1 << number) != 0;
                let kept = is_kept.then_some((version, 0));
                *control = Control { second_at: 1, first_gone_at: 2, kept, ..Control::default() };
            }
            starts.push(state);
        }
    }
    starts
}

fn recording(version: u8, life: Life) -> Stream {
    Stream::Recording { version, life, unsent: (1 << CONTROL) - 1, kept: 0 }
}

#[test]
fn no_interleaving_joins_two_versions() {
    let mut seen: Set<State> = Set::default();
    let mut frontier = starts();
    for _ in 0..DEPTH {
        let mut following = Vec::new();
        for state in frontier {
            for next in state.next() {
                if seen.insert(next) {
                    next.check();
                    following.push(next);
                }
            }
        }
        frontier = following;
    }
    assert!(seen.len() > 1_000_000, "{}", seen.len());
}
