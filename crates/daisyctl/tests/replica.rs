//! The output of `daisyctl replica list`.

use consensus::{
    entry::Position,
    member::{Config, Id, Member},
    status::{Role, Status},
};
use daisyctl::command::replica;
use expect_test::expect;
use wire::log::Replica;

#[test]
fn shows_voters_learners_and_replicas_that_do_not_respond() {
    let member = |id: u64, voter| Member {
        id: Id(id),
        instance: format!("sapporo-{id}").as_str().into(),
        voter,
        replaces: None,
    };
    let status = |id: u64, role| Status {
        id: Id(id),
        role,
        term: 3,
        leader: Some(Id(1)),
        commit: 90,
        last: Position { index: 91, term: 3 },
        config: Config::new(vec![member(1, true), member(2, false)]),
        settled: false,
        lags: Vec::new(),
    };
    let row = |id: u64, status| Replica {
        branch: "inkleaf".into(),
        instance: format!("sapporo-{id}").as_str().into(),
        status,
    };
    let replicas = [
        row(1, Some(status(1, Role::Leader))),
        row(2, Some(status(2, Role::Follower))),
        row(3, None),
    ];
    expect![[r#"
        BRANCH   INSTANCE   IDENTITY          PART     ROLE       TERM  COMMITTED  LAST  MEMBERS
        inkleaf  sapporo-1  0000000000000001  voter    leader     3     90         91    sapporo-1,sapporo-2
        inkleaf  sapporo-2  0000000000000002  learner  follower   3     90         91    sapporo-1,sapporo-2
        inkleaf  sapporo-3                             no answer
    "#]].assert_eq(&replica::render(&replicas));
}
