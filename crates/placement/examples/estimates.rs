//! Plays the load of a quiet day in fleets of several sizes whose notices of load are old or lost.
//!
//! Run with `cargo run --release -p placement --example estimates`.

#[path = "../tests/support/delayed.rs"]
#[allow(dead_code, reason = "shared with tests")]
mod delayed;

use delayed::{Event, Exchange, Report, Scenario, Simulation};

const SECONDS: u64 = 24;
/// Instances and engines.
const SIZES: [(usize, usize); 4] = [(8, 18), (72, 140), (300, 320), (1_900, 320)];

fn main() {
    let alone = Exchange { unanswered: true, ..Exchange::lost(1.0) };
    let exchanges = [
        ("2 ms old", Exchange::FRESH),
        ("50 ms old", Exchange::delayed(50)),
        ("0.5 s old", Exchange::delayed(500)),
        ("1.2 s old", Exchange::delayed(1_200)),
        ("5 s old", Exchange::delayed(5_000)),
        ("nine in ten lost", Exchange::lost(0.9)),
        ("all lost", Exchange::lost(1.0)),
        ("all lost, nothing answered", alone),
    ];
    for (instances, engines) in SIZES {
        for (name, exchange) in exchanges {
            print(instances, name, play(instances, engines, 1.0, exchange, Event::None));
        }
        let old = Exchange::delayed(1_200);
        for (name, load, event) in [
            ("1.2 s old, 1.6 times the load", 1.6, Event::None),
            ("1.2 s old, one in six engines ends", 1.0, Event::EnginesEnd),
            ("1.2 s old, all instances restart", 1.0, Event::InstancesRestart),
            ("1.2 s old, one in ten instances silent", 1.0, Event::InstancesSilent),
        ] {
            print(instances, name, play(instances, engines, load, old, event));
        }
    }
}

fn play(instances: usize, engines: usize, load: f64, exchange: Exchange, event: Event) -> Report {
    let slots = if engines > 200 { 16 } else { 64 };
    let scenario =
        Scenario { instances, engines, slots, load, exchange, seconds: SECONDS, seed: 1, event };
    Simulation::new(scenario).run()
}

#[allow(clippy::print_stdout, reason = "an example")]
fn print(instances: usize, name: &str, report: Report) {
    let counted = f64::from(report.arrivals.max(1));
    let busiest = report.most_received as f64 / SECONDS as f64;
    println!(
        "{instances} instances, {name}: {:.1}% in time, {:.2}% refused, {:.2}% rejected, {:.1} messages a request, \
         {busiest:.0} a second to the busiest instance",
        report.in_time() * 100.0,
        f64::from(report.refused) / f64::from(report.requests.max(1)) * 100.0,
        report.rejected() * 100.0,
        report.sent as f64 / (counted * 1.5),
    );
}
