//! At most one process holds the lease of a data centre at any time, even while holders and proposers are paused,
//! delayed or partitioned.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use control::{
    command::Command,
    intent::{self, Ending},
    lease::{self, Grant, MARGIN_MS, Release, Renew, Reply, Session},
    query::{Answer, Query},
    reply,
    state::State,
    time::{Advance, MAX_STEP_MS},
};
use expect_test::expect;
use proptest::prelude::*;

const TERM_MS: u64 = 5_000;
const HOLDERS: usize = 3;
const PROPOSERS: usize = 2;

fn grant(holder: usize) -> Grant {
    Grant {
        data_centre: "suva".into(),
        holder: format!("suva-{holder}").into(),
        session: Session(holder as u64),
        term_ms: TERM_MS,
    }
}

fn lease(state: &mut State, index: u64, command: &Command) -> Reply {
    match state.apply(index, command) {
        reply::Reply::Lease(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn now_ms(state: &State) -> u64 {
    match state.query(&Query::Time) {
        Answer::Time(time) => time.now_ms,
        other => panic!("{other:?}"),
    }
}

/// Advances the log's time by `span_ms` in allowed steps.
fn pass(state: &mut State, index: &mut u64, span_ms: u64) {
    for _ in 0..span_ms.div_ceil(MAX_STEP_MS) {
        *index += 1;
        let advance = Advance { from_ms: now_ms(state), elapsed_ms: MAX_STEP_MS };
        state.apply(*index, &Command::Advance(advance));
    }
}

#[test]
fn another_holder_gets_the_lease_only_after_term_step_and_margin() {
    let mut state = State::new("association".into());
    let mut lines = Vec::new();
    let mut index = 9;
    let mut ask = |state: &mut State, index: u64, command: Command| {
        lines.push(format!("{index} {:?}", lease(state, index, &command)));
    };
    ask(&mut state, 10, Command::Grant(grant(1)));
    ask(&mut state, 11, Command::Grant(grant(2)));
    ask(&mut state, 12, Command::Grant(grant(1)));
    let renew = Renew { data_centre: "suva".into(), session: Session(1), fencing: 10 };
    pass(&mut state, &mut index, TERM_MS);
    ask(&mut state, 30, Command::Renew(renew.clone()));
    pass(&mut state, &mut index, TERM_MS);
    ask(&mut state, 50, Command::Grant(grant(2)));
    pass(&mut state, &mut index, MAX_STEP_MS + MARGIN_MS);
    ask(&mut state, 70, Command::Grant(grant(2)));
    ask(&mut state, 71, Command::Renew(renew));
    let release = Release { data_centre: "suva".into(), session: Session(2), fencing: 70 };
    ask(&mut state, 72, Command::Release(release));
    ask(&mut state, 73, Command::Grant(grant(1)));
    expect![[r#"
        10 Granted { fencing: 10, term_ms: 5000 }
        11 Held { holder: Instance("suva-1"), fencing: 10, wait_ms: 8500 }
        12 Granted { fencing: 10, term_ms: 5000 }
        30 Granted { fencing: 10, term_ms: 5000 }
        50 Held { holder: Instance("suva-1"), fencing: 10, wait_ms: 3500 }
        70 Granted { fencing: 70, term_ms: 5000 }
        71 Lost
        72 Released
        73 Granted { fencing: 73, term_ms: 5000 }"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn time_advances_once_for_each_reading_and_by_bounded_steps() {
    let mut state = State::new("a".into());
    let advance = |from_ms, elapsed_ms| Command::Advance(Advance { from_ms, elapsed_ms });
    state.apply(1, &advance(0, 400));
    state.apply(2, &advance(0, 400));
    assert_eq!(now_ms(&state), 400);
    state.apply(3, &advance(400, 60_000));
    assert_eq!(now_ms(&state), 400 + MAX_STEP_MS);
}

#[test]
fn intents_need_the_valid_fencing_token_and_one_is_open_for_each_target() {
    let mut state = State::new("association".into());
    lease(&mut state, 5, &Command::Grant(grant(1)));
    let open = |fencing, id: &str| {
        Command::Open(intent::Open {
            data_centre: "suva".into(),
            fencing,
            target: "e1".into(),
            id: id.into(),
            action: "{}".into(),
        })
    };
    let settle = |fencing, id: &str| {
        Command::Settle(intent::Settle {
            data_centre: "suva".into(),
            fencing,
            target: "e1".into(),
            id: id.into(),
            ending: Ending::Done,
        })
    };
    let commands = [
        open(4, "o1"),
        open(5, "o1"),
        open(5, "o1"),
        open(5, "o2"),
        settle(4, "o1"),
        settle(5, "o2"),
        settle(5, "o1"),
        settle(5, "o1"),
        open(5, "o1"),
        open(5, "o2"),
    ];
    let lines: Vec<String> = commands
        .iter()
        .enumerate()
        .map(|(position, command)| match state.apply(10 + position as u64, command) {
            reply::Reply::Intent(reply) => format!("{reply:?}"),
            other => panic!("{other:?}"),
        })
        .collect();
    expect![[r#"
        Stale
        Opened
        Opened
        Busy { open: Intent { id: "o1", action: "{}", fencing: 5, index: 11 } }
        Stale
        NotOpen
        Settled
        Ended { ending: Done }
        Ended { ending: Done }
        Opened"#]]
    .assert_eq(&lines.join("\n"));
}

#[derive(Clone, Debug)]
enum Event {
    /// A proposer runs without a pause: its advance is applied, it reads the log's time again, and time passes.
    Count { proposer: usize, ms: u64 },
    /// A holder asks for the lease and gets its reply at once.
    Request { holder: usize },
    /// Real time passes.
    Pass { ms: u64 },
    /// A proposer reads the log's time.
    Read { proposer: usize },
    /// A proposer's advance is applied, with any delay.
    Advance { proposer: usize },
    /// A holder sends its request for the lease and measures its term from here.
    Ask { holder: usize },
    /// The holder's request is applied and the reply arrives.
    Deliver { holder: usize },
    /// The holder's request is lost.
    Lose { holder: usize },
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        40 => (900..=MAX_STEP_MS).prop_map(|ms| Event::Count { proposer: 0, ms }),
        9 => (0..HOLDERS).prop_map(|holder| Event::Request { holder }),
        1 => (1..3_000u64).prop_map(|ms| Event::Pass { ms }),
        1 => (0..PROPOSERS).prop_map(|proposer| Event::Read { proposer }),
        1 => (0..PROPOSERS).prop_map(|proposer| Event::Advance { proposer }),
        1 => (0..HOLDERS).prop_map(|holder| Event::Ask { holder }),
        1 => (0..HOLDERS).prop_map(|holder| Event::Deliver { holder }),
        1 => (0..HOLDERS).prop_map(|holder| Event::Lose { holder }),
    ]
}

#[derive(Default)]
struct Simulation {
    real_ms: u64,
    index: u64,
    /// The log's time that each proposer has read, and the real time of the reading.
    reads: [Option<(u64, u64)>; PROPOSERS],
    /// The real time at which each holder asked.
    asked: [Option<u64>; HOLDERS],
    /// The end of the lease by each holder's own measure, and its fencing token.
    held: [Option<(u64, u64)>; HOLDERS],
}

impl Simulation {
    fn step(&mut self, state: &mut State, event: &Event) {
        self.index += 1;
        match *event {
            Event::Count { proposer, ms } => {
                self.step(state, &Event::Advance { proposer });
                self.step(state, &Event::Read { proposer });
                self.step(state, &Event::Pass { ms });
            }
            Event::Request { holder } => {
                self.step(state, &Event::Ask { holder });
                self.step(state, &Event::Deliver { holder });
            }
            Event::Pass { ms } => self.real_ms += ms,
            Event::Read { proposer } => self.reads[proposer] = Some((now_ms(state), self.real_ms)),
            Event::Advance { proposer } => {
                if let Some((from_ms, read_at)) = self.reads[proposer].take() {
                    let advance = Advance { from_ms, elapsed_ms: self.real_ms - read_at };
                    state.apply(self.index, &Command::Advance(advance));
                }
            }
            Event::Ask { holder } => self.asked[holder] = Some(self.real_ms),
            Event::Lose { holder } => self.asked[holder] = None,
            Event::Deliver { holder } => self.deliver(state, holder),
        }
    }

    fn deliver(&mut self, state: &mut State, holder: usize) {
        let Some(asked) = self.asked[holder].take() else { return };
        if let Reply::Granted { fencing, term_ms } =
            lease(state, self.index, &Command::Grant(grant(holder)))
        {
            self.held[holder] = Some((asked + term_ms, fencing));
        }
    }

    fn holders(&self, margin_ms: u64) -> Vec<usize> {
        (0..HOLDERS)
            .filter(|&holder| {
                self.held[holder].is_some_and(|(until, _)| until + margin_ms > self.real_ms)
            })
            .collect()
    }
}

proptest! {
    /// Two proposers advance the log's time with arbitrary pauses and delays; requests for the lease are delayed and
    /// lost. No second holder gets the lease before the first one's term and the margin are over, and fencing tokens
    /// only increase.
    #[test]
    fn at_most_one_holder(events in prop::collection::vec(any_event(), 1..200)) {
        let mut state = State::new("association".into());
        let mut simulation = Simulation::default();
        let mut highest = 0;
        for event in &events {
            let before = simulation.holders(MARGIN_MS - 1);
            simulation.step(&mut state, event);
            let new: Vec<usize> = simulation.holders(0).into_iter().filter(|holder| !before.contains(holder)).collect();
            if let Event::Deliver { .. } | Event::Request { .. } = event
                && let Some(&holder) = new.first()
            {
                prop_assert!(before.is_empty(), "holder {holder} got the lease while {before:?} may still hold it");
                let (_, fencing) = simulation.held[holder].unwrap();
                prop_assert!(fencing > highest || simulation.held.iter().flatten().any(|b| b.1 == fencing));
                highest = highest.max(fencing);
            }
            prop_assert!(simulation.holders(0).len() <= 1);
        }
    }

    /// The log's time is never ahead of real time.
    #[test]
    fn log_time_is_never_ahead_of_real_time(events in prop::collection::vec(any_event(), 1..200)) {
        let mut state = State::new("association".into());
        let mut simulation = Simulation::default();
        for event in &events {
            simulation.step(&mut state, event);
            prop_assert!(now_ms(&state) <= simulation.real_ms);
        }
    }
}

#[test]
fn a_term_above_the_bound_is_refused() {
    let mut state = State::new("a".into());
    let grant = Grant { term_ms: lease::MAX_TERM_MS + 1, ..grant(1) };
    assert_eq!(lease(&mut state, 1, &Command::Grant(grant)), Reply::Invalid);
}
