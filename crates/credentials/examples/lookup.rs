//! Measures how long a lookup takes, by the number of organisations.
//!
//! Usage: `cargo run --release -p credentials --example lookup`

use std::{hint, time::Instant};

use common::name;
use credentials::table::{Organisation, Table};
use settings::key::Digest;

const LOOKUPS: u32 = 200_000;

#[allow(clippy::print_stdout, reason = "the figures are its output")]
fn main() {
    for organisations in [80, 1_000, 31_000] {
        let mut table = Table::default();
        for index in 0..organisations {
            let name = name::Organisation(format!("organisation-{index}"));
            let keys = [format!("first-{index}"), format!("second-{index}")];
            let organisation = Organisation { name, priority: None };
            table.add(organisation, keys).expect("invariant: all keys differ");
        }
        let started = Instant::now();
        for lookup in 0..LOOKUPS {
            let key = format!("first-{}", lookup % organisations);
            hint::black_box(table.find(&Digest::of(&key)));
        }
        let each = started.elapsed() / LOOKUPS;
        println!("{organisations} organisations: {each:?} a lookup, digest included");
    }
}
