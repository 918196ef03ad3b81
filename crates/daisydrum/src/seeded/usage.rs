//! Usage of the fleet's organisations: entry instances report what they count to control instances, which keep it, and the
//! one that holds the duties reports it to the platform.

pub(crate) mod entry;
pub(crate) mod holder;
pub(crate) mod keeper;

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, random};
use fleet::exchange::{Answer, Question};
use settings::seeded::PlatformApi;
use tokio::time;
use usage::{clock::Clock, schedule::Bounds};

use crate::seeded::{context::Context, directory::Directory, subscription};

/// Time between two readings of the control instances' clocks.
const CLOCK_INTERVAL: Duration = Duration::from_secs(5);
/// The same until half of them have been read.
const FIRST_CLOCK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a reading.
const CLOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Control instances whose clocks are read: a jump of three of them at the same time has no effect.
const MAX_CLOCKS: usize = 7;

/// Length of windows and the time until a report is due, from the settings.
fn bounds(settings: &PlatformApi) -> Bounds {
    let window = Duration::from_secs_f64(settings.usage_window_s);
    Bounds {
        window_ms: u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1),
        late: Duration::from_secs_f64(settings.usage_late_s),
    }
}

/// Control instances in an order that differs between the instances that ask them, so that all get the same share.
fn control_order(context: &Context, directory: &Directory) -> Vec<SocketAddr> {
    let mut addresses = directory.control_addresses();
    let hash =
        |text: String| text.bytes().fold(0, |hash, byte| random::mix(hash ^ u64::from(byte)));
    let own = hash(context.identity.instance.0.clone());
    addresses.sort_by_cached_key(|address| random::mix(own ^ hash(address.to_string())));
    addresses
}

/// Reads the control instances' clocks again and again; `adjust` passes each change to the clock that it keeps.
async fn follow_clocks(
    context: &Context,
    directory: &Directory,
    adjust: impl Fn(&mut dyn FnMut(&mut Clock)),
) {
    loop {
        let addresses = control_order(context, directory);
        let readings = addresses.iter().take(MAX_CLOCKS).map(async |address| {
            let asked = Moment::now();
            let answer = subscription::ask(context, *address, &Question::Time, CLOCK_TIMEOUT).await;
            (address, asked, answer, Moment::now())
        });
        let readings = futures::future::join_all(readings).await;
        let mut known = 0;
        adjust(&mut |clock| {
            for (address, asked, answer, now) in &readings {
                if let Some(Answer::Time { unix_ms }) = answer {
                    clock.record(
                        &common::name::Instance(address.to_string()),
                        *unix_ms,
                        *asked,
                        *now,
                    );
                }
            }
            let own = &context.identity.instance;
            clock.retain(|instance| {
                instance == own || addresses.iter().any(|address| address.to_string() == instance.0)
            });
            known = clock.readings();
        });
        metrics::gauge!("daisydrum_usage_clocks").set(known as f64);
        let has_majority = known > 0 && 2 * known >= addresses.len().min(MAX_CLOCKS);
        time::sleep(if has_majority { CLOCK_INTERVAL } else { FIRST_CLOCK_INTERVAL }).await;
    }
}
