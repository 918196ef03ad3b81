//! Number of prefill engines by the wanted share, and the engines that change.

use common::name;
use fleet::registry::Stage;
use roles::split::{self, Engine};
use yare::parameterized;

fn engines(places: &[(&str, Stage)]) -> Vec<Engine> {
    let engine = |(number, (place, stage)): (usize, &(&str, Stage))| Engine {
        target: name::Target(format!("i-{number:02}")),
        data_centre: name::DataCentre::from(*place),
        stage: *stage,
    };
    places.iter().enumerate().map(engine).collect()
}

#[parameterized(
    usual = { 18, 0.7, 13 },
    small = { 9, 0.7, 6 },
    two_decode = { 3, 0.9, 1 },
    none_is_left = { 2, 0.7, 0 },
    one = { 1, 0.7, 0 },
    no_share = { 10, 0.0, 1 },
)]
fn the_number_of_prefill_engines_follows_the_share_but_leaves_two_that_decode(
    engines: usize,
    share: f64,
    prefill: usize,
) {
    assert_eq!(split::prefill_count(engines, share), prefill);
}

#[test]
fn changes_take_engines_of_the_data_centre_with_the_most_of_a_stage() {
    let fleet = engines(&[
        ("suva", Stage::Decode),
        ("suva", Stage::Decode),
        ("suva", Stage::Decode),
        ("nadi", Stage::Decode),
        ("nadi", Stage::Prefill),
    ]);
    let changes = split::changes(&fleet, 3, 10);
    let names: Vec<&str> = changes.iter().map(|change| change.target.as_ref()).collect();
    assert_eq!(names, ["i-00", "i-01"]);
    assert!(changes.iter().all(|change| change.stage == Stage::Prefill));
}

#[test]
fn changes_to_decode_stop_at_the_limit_and_there_is_none_at_the_wanted_number() {
    let fleet = engines(&[("suva", Stage::Prefill); 6]);
    let changes = split::changes(&fleet, 2, 3);
    assert_eq!(changes.len(), 3);
    assert!(changes.iter().all(|change| change.stage == Stage::Decode));
    assert!(split::changes(&fleet, 6, 3).is_empty());
}
