//! Failure 14: cache events arrive late, with gaps and out of order.

use load::{
    run,
    scenario::{Range, Scenario, Shape, Stream},
};
use standin::{engine, harness::tree::ASSOCIATION};

use crate::support;

const ENGINES: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn routing_by_gapped_cache_events_gives_no_wrong_response_and_more_hits_than_random_choice() {
    let cluster = support::cluster("gaps", &[support::data_centre("suva", 2)]).await;
    let routed = engines(&cluster, "routed").await;
    cluster.until_targets(ENGINES).await;
    let report = run::run(scenario(cluster.callers())).await;
    support::assert_served(&report);

    let random = engines(&cluster, "random").await;
    let addresses = random.iter().map(engine::Engine::address).collect();
    let baseline = run::run(scenario(addresses)).await;
    support::assert_served(&baseline);
    let (routed, random) = (hit_rate(&routed), hit_rate(&random));
    assert!(routed > random, "hit rate {routed:.3} routed, {random:.3} at random");
}

/// Starts engines with lossy, late cache events; those named `random` don't announce themselves, so
/// only the load generator reaches them, which picks addresses at random.
async fn engines(cluster: &standin::harness::cluster::Cluster, name: &str) -> Vec<engine::Engine> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let mut options = cluster.engine(&format!("{name}-{number}"), ASSOCIATION, "suva");
        options.cache_pieces = 8;
        options.reports.event_lag = 1;
        options.reports.event_loss_percent = 30;
        if name == "random" {
            options.announcements.control.clear();
        }
        engines.push(cluster.start_engine(options).await);
    }
    engines
}

fn scenario(callers: Vec<std::net::SocketAddr>) -> Scenario {
    let stream = Stream {
        shape: Shape::Completion {
            model: String::from(ASSOCIATION.model),
            prompt_tokens: Range { from: 50, to: 100 },
            output_tokens: Range { from: 4, to: 8 },
            prefixes: 8,
            prefix_tokens: 4_000,
        },
        ..support::completions(ASSOCIATION, 8.0)
    };
    support::scenario(callers, 15.0, vec![stream])
}

/// Share of all prompt tokens that the engines found in their prefix caches.
#[allow(clippy::cast_precision_loss, reason = "token counts of a test fit a double exactly")]
fn hit_rate(engines: &[engine::Engine]) -> f64 {
    let totals = engines.iter().map(engine::Engine::totals);
    let (cached, computed) = totals.fold((0, 0), |(cached, computed), totals| {
        (cached + totals.cached_tokens, computed + totals.prompt_tokens)
    });
    cached as f64 / (cached + computed) as f64
}
