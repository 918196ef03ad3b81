//! Single steps of one node, driven by hand.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::clock::Moment;
use consensus::{
    effect::{Effect, Event, HardState, InitialState, OperationId, Proposal, Refusal},
    entry::{Entry, Payload, Position},
    member::{Change, Config, Error, Id, Member},
    message::{AppendOutcome, AppendReply, Body, ElectionCause, Envelope},
    node::Node,
    options::Options,
    reconfiguration::{self, Removal},
    status::Role,
};
use expect_test::expect;

const SELF: Id = Id(1);

fn member(id: u64) -> Member {
    Member {
        id: Id(id),
        instance: format!("instance-{id}").as_str().into(),
        voter: true,
        replaces: None,
    }
}

fn start(voters: u64, term: u64, entries: &[(u64, u64)]) -> InitialState {
    let founders = Config::new((1..=voters).map(member).collect());
    let entry = |(index, term): &(u64, u64)| Entry {
        position: Position { index: *index, term: *term },
        payload: Payload::Empty,
    };
    let hard = HardState { id: SELF, term, vote: None, founders };
    InitialState { hard, entries: entries.iter().map(entry).collect(), ..InitialState::default() }
}

/// Steps a node at a fixed time, late enough for an election. Every write is durable at once.
struct Driver {
    node: Node,
    now: Moment,
    effects: Vec<Effect>,
}

impl Driver {
    fn new(start: InitialState, options: Options) -> Driver {
        Driver { node: Node::new(start, options), now: Moment(10_000), effects: Vec::new() }
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = self.node.step(event, self.now);
        let written = effects.iter().find_map(|effect| match effect {
            Effect::Write(write) => Some(write.number),
            _ => None,
        });
        if let Some(number) = written {
            effects.extend(self.step(Event::Synced(number)));
        }
        self.effects.extend(effects.clone());
        effects
    }

    fn receive(&mut self, from: u64, term: u64, body: Body) -> Vec<Effect> {
        self.step(Event::Receive(Envelope { from: Id(from), to: SELF, term, body }))
    }

    /// Wins the election of the next term with the vote of replica 2, and returns the term.
    fn lead(&mut self) -> u64 {
        self.step(Event::Tick);
        let term = self.node.status().term + 1;
        self.receive(2, term, Body::PreVoteReply { granted: true });
        self.receive(2, term, Body::VoteReply { granted: true });
        assert_eq!(self.node.status().role, Role::Leader);
        term
    }

    fn accept(&mut self, from: u64, match_index: u64) -> Vec<Effect> {
        let term = self.node.status().term;
        let outcome = AppendOutcome::Accepted { match_index };
        self.receive(from, term, Body::AppendReply(AppendReply { round: 0, outcome }))
    }

    fn propose(&mut self, operation: u64, bytes: usize) -> Vec<Effect> {
        let proposal = Proposal { operation: OperationId(operation), command: vec![0; bytes] };
        self.step(Event::Propose(vec![proposal]))
    }
}

fn applied(effects: &[Effect]) -> Vec<u64> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Apply(entries) => Some(entries.iter().map(|entry| entry.position.index)),
            _ => None,
        })
        .flatten()
        .collect()
}

/// First index and number of entries of each append message to a replica.
fn sent(effects: &[Effect], to: u64) -> Vec<(u64, usize)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send { envelope, .. } if envelope.to == Id(to) => match &envelope.body {
                Body::Append(append) => Some((append.previous.index + 1, append.entries.len())),
                _ => None,
            },
            _ => None,
        })
        .filter(|(_, count)| *count > 0)
        .collect()
}

#[test]
fn entries_of_older_terms_are_committed_only_with_an_entry_of_the_leaders_term() {
    let mut driver = Driver::new(start(3, 3, &[(1, 1), (2, 2)]), Options::default());
    driver.lead();
    assert_eq!(applied(&driver.accept(2, 2)), Vec::<u64>::new());
    assert_eq!(applied(&driver.accept(2, 3)), [1, 2, 3]);
}

#[test]
fn a_vote_is_sent_only_after_its_write() {
    let mut node = Node::new(start(3, 1, &[]), Options::default());
    let body = Body::Vote { last: Position::default(), cause: ElectionCause::Timeout };
    let envelope = Envelope { from: Id(2), to: SELF, term: 2, body };
    let effects = node.step(Event::Receive(envelope), Moment(0));
    let printed: Vec<String> = effects
        .iter()
        .map(|effect| match effect {
            Effect::Write(write) => {
                format!("write {} vote {:?}", write.number, write.hard.as_ref().unwrap().vote)
            }
            Effect::Send { after, envelope } => format!("after {after} send {:?}", envelope.body),
            other => format!("{other:?}"),
        })
        .collect();
    expect![[r#"
        write 1 vote Some(Id(2))
        after 1 send VoteReply { granted: true }"#]]
    .assert_eq(&printed.join("\n"));
}

#[test]
fn a_node_votes_for_one_candidate_in_a_term() {
    let mut driver = Driver::new(start(3, 1, &[]), Options::default());
    let vote = || Body::Vote { last: Position::default(), cause: ElectionCause::Timeout };
    let granted = |effects: Vec<Effect>| {
        effects.iter().any(|effect| {
            matches!(effect, Effect::Send { envelope, .. } if envelope.body == Body::VoteReply { granted: true })
        })
    };
    assert!(granted(driver.receive(2, 2, vote())));
    assert!(granted(driver.receive(2, 2, vote())));
    assert!(!granted(driver.receive(3, 2, vote())));
}

#[test]
fn a_message_to_another_identity_is_dropped() {
    let mut driver = Driver::new(start(3, 1, &[]), Options::default());
    let body = Body::Vote { last: Position::default(), cause: ElectionCause::Timeout };
    let envelope = Envelope { from: Id(2), to: Id(77), term: 9, body };
    assert_eq!(driver.step(Event::Receive(envelope)), []);
    assert_eq!(driver.node.status().term, 1);
}

#[test]
fn entries_in_flight_to_a_peer_are_limited() {
    let options = Options { max_inflight_entries: 4, ..Options::default() };
    let mut driver = Driver::new(start(3, 0, &[]), options);
    driver.lead();
    driver.accept(2, 1);
    driver.accept(3, 1);
    driver.effects.clear();
    for operation in 0..20 {
        driver.propose(operation, 10);
    }
    assert_eq!(sent(&driver.effects, 3), [(2, 1), (3, 1), (4, 1), (5, 1)]);
    assert_eq!(sent(&driver.accept(3, 4), 3), [(6, 3)]);
}

#[test]
fn bytes_in_flight_to_a_peer_are_limited() {
    let options = Options { max_inflight_bytes: 1_000, ..Options::default() };
    let mut driver = Driver::new(start(3, 0, &[]), options);
    driver.lead();
    driver.accept(3, 1);
    driver.effects.clear();
    for operation in 0..20 {
        driver.propose(operation, 600);
    }
    assert_eq!(sent(&driver.effects, 3), [(2, 1), (3, 1)]);
}

#[test]
fn one_change_at_a_time_and_none_before_an_entry_of_the_leaders_term_is_committed() {
    let mut driver = Driver::new(start(3, 0, &[]), Options::default());
    driver.lead();
    let learn = |id| Event::Change(OperationId(id), Change::AddLearner(member(id)));
    let refused = |operation, refusal| vec![Effect::Refused(OperationId(operation), refusal)];
    assert_eq!(driver.step(learn(4)), refused(4, Refusal::Busy));
    driver.accept(2, 1);
    driver.step(learn(4));
    assert_eq!(driver.step(learn(5)), refused(5, Refusal::Busy));
    driver.accept(2, 2);
    assert_eq!(driver.step(learn(4)), refused(4, Refusal::InvalidChange(Error::Known)));
    let status = driver.node.status();
    let roles: Vec<(Id, bool)> =
        status.config.members().iter().map(|member| (member.id, member.voter)).collect();
    assert_eq!(roles, [(Id(1), true), (Id(2), true), (Id(3), true), (Id(4), false)]);
}

#[test]
fn a_lagging_learner_is_not_promoted() {
    let options = Options { max_promotion_lag: 0, ..Options::default() };
    let mut driver = Driver::new(start(3, 0, &[]), options);
    driver.lead();
    driver.accept(2, 1);
    driver.step(Event::Change(OperationId(1), Change::AddLearner(member(4))));
    driver.accept(2, 2);
    let promote = Event::Change(OperationId(2), Change::Promote(Id(4)));
    let refusal = Refusal::InvalidChange(Error::Behind);
    assert_eq!(driver.step(promote.clone()), [Effect::Refused(OperationId(2), refusal)]);
    driver.accept(4, 2);
    let position = Position { index: 3, term: 1 };
    assert!(driver.step(promote).contains(&Effect::Appended(OperationId(2), position)));
}

#[test]
fn a_wiped_replica_replaces_its_old_identity() {
    let mut driver = Driver::new(start(3, 0, &[]), Options::default());
    driver.lead();
    driver.accept(2, 1);
    let mut steps = Vec::new();
    for index in 2..=5 {
        let status = driver.node.status();
        let change = reconfiguration::rejoin(&status, Id(9), &"instance-3".into())
            .or_else(|| reconfiguration::next_change(&driver.node, driver.now, None));
        steps.push(format!("{change:?}"));
        if let Some(change) = change {
            driver.step(Event::Change(OperationId(index), change));
        }
        driver.accept(2, index);
        driver.accept(9, index);
    }
    expect![[r#"
        Some(AddLearner(Member { id: Id(9), instance: Instance("instance-3"), voter: false, replaces: Some(Id(3)) }))
        Some(Promote(Id(9)))
        Some(Remove(Id(3)))
        None"#]]
    .assert_eq(&steps.join("\n"));
}

#[test]
fn a_leader_without_a_quorum_steps_down() {
    let mut driver = Driver::new(start(3, 0, &[]), Options::default());
    driver.lead();
    driver.now = driver.now + Options::default().election_timeout_min;
    driver.step(Event::Read(OperationId(1)));
    let effects = driver.step(Event::Tick);
    let refusal = Refusal::NotLeader { leader: None };
    assert!(effects.contains(&Effect::Refused(OperationId(1), refusal)));
    assert_eq!(driver.node.status().role, Role::Follower);
}

#[test]
fn a_read_waits_for_a_quorum_and_a_committed_entry_of_the_leaders_term() {
    let mut driver = Driver::new(start(3, 0, &[]), Options::default());
    let term = driver.lead();
    assert!(
        !driver.step(Event::Read(OperationId(1))).contains(&Effect::Readable(OperationId(1), 1))
    );
    let reply = |round, match_index| {
        Body::AppendReply(AppendReply { round, outcome: AppendOutcome::Accepted { match_index } })
    };
    assert!(!driver.receive(2, term, reply(0, 1)).contains(&Effect::Readable(OperationId(1), 1)));
    assert!(driver.receive(2, term, reply(1, 1)).contains(&Effect::Readable(OperationId(1), 1)));
}

#[test]
fn a_silent_voter_is_removed_only_above_the_floor_and_not_because_the_leader_paused() {
    let removal = Removal { after: Duration::from_millis(2_000), min_voters: 3 };
    let mut driver = Driver::new(start(4, 0, &[]), Options::default());
    driver.step(Event::Tick);
    for voter in [2, 3] {
        driver.receive(voter, 1, Body::PreVoteReply { granted: true });
    }
    for voter in [2, 3] {
        driver.receive(voter, 1, Body::VoteReply { granted: true });
    }
    let removed = |driver: &Driver| {
        let silence = |id| driver.node.silence(id, driver.now);
        reconfiguration::remove_silent(&driver.node.status(), silence, &removal)
    };
    // The leader was paused: replies may wait to be handled.
    driver.now = Moment(13_000);
    driver.accept(2, 1);
    driver.accept(3, 1);
    driver.step(Event::Tick);
    assert_eq!(removed(&driver), None);
    for _ in 0..10 {
        driver.now = Moment(driver.now.0 + 200);
        driver.accept(2, 1);
        driver.accept(3, 1);
        driver.step(Event::Tick);
    }
    let change = Change::Remove(Id(4));
    assert_eq!(removed(&driver), Some(change.clone()));
    driver.step(Event::Change(OperationId(1), change));
    driver.accept(2, 2);
    let status = driver.node.status();
    assert_eq!((status.config.voters().count(), status.settled), (3, true));
    // Three voters are the fewest: the next one that is silent stays.
    for _ in 0..20 {
        driver.now = Moment(driver.now.0 + 200);
        driver.accept(2, 2);
        driver.step(Event::Tick);
    }
    assert_eq!(removed(&driver), None);
}
