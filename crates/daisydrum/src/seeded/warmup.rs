//! Fetches the list of prompt parts that the engines of its cells have cached when an entry instance starts. Without it,
//! requests would be placed without regard to caches and all prompts computed again.
//!
//! The other keepers of the cells are asked first. If all have just started, the one whose name sorts first asks the engines,
//! and the others get the list from it. An instance that keeps no cell needs no list.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{
    clock::{self, Moment},
    random::Random,
};
use fleet::{
    exchange::{Answer, Identity, Notice, Part, Question},
    registry::Target,
    warmup,
};
use futures::{StreamExt, stream};
use gateway::state::Gateway;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, header::HOST};
use platform::engine;
use slog::info;
use tokio::time;

use crate::seeded::{context::Context, directory::Directory, standings, subscription};

/// Time between two attempts.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Longest wait for a list, of which several hundred kilobytes take 0.4 s at 10 Mbit/s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which an instance serves without the suspicions; earlier if all others have just started, too.
pub(super) const SUSPICIONS_DEADLINE: Duration = Duration::from_millis(1_500);
/// Instances that are asked for the suspicions in a round, and the longest wait for the small answer of each.
const MAX_ASKED_FOR_SUSPICIONS: usize = 8;
pub(super) const SUSPICIONS_TIMEOUT: Duration = Duration::from_millis(300);
/// Questions for the suspicions that are open at once, so that those to instances without power hold up no other.
const MAX_OPEN_QUESTIONS: usize = 4;
/// Longest wait for a connection to another entry instance, which may be without power.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that each entry instance whose name sorts before this one's gets before this one asks the engines itself.
const TURN_DELAY: Duration = Duration::from_millis(250);
/// Limit of an engine's list, in bytes; each part takes less than a hundred.
const MAX_LIST_BYTES: usize = 1024 * 1024;
/// Largest number of instances that this one gives that time.
const MAX_TURNS: usize = 4;

/// Fetches the list once, as soon as a target and a configuration are known, and marks the cached parts as known.
pub(crate) async fn run(context: Context, directory: Directory, gateway: Arc<Gateway>) {
    warm_up(&context, &directory, &gateway).await;
    context.startup.end();
}

async fn warm_up(context: &Context, directory: &Directory, gateway: &Arc<Gateway>) {
    while gateway.balancer().is_empty() || gateway.config_version() == 0 {
        time::sleep(RETRY_INTERVAL).await;
    }
    if context.settings.founding {
        // The engines start together with the fleet, so their caches are empty, and none has ended on a prompt.
        gateway.quarantine.set_known();
        gateway.set_holdings_known();
        return;
    }
    let kept = standings::learn(context, directory, gateway);
    tokio::join!(kept, learn_suspicions(context, directory, gateway));
    gateway.quarantine.set_known();
    let started = Instant::now();
    while !gateway.balancer().uninformed_engines(Moment::now()).is_empty() {
        match ask_instances(context, directory, gateway).await {
            Outcome::Learned => continue,
            Outcome::Later => {
                time::sleep(RETRY_INTERVAL).await;
                continue;
            }
            Outcome::None => {}
        }
        let fellows = gateway.balancer().fellow_keepers(Moment::now());
        let ahead = fellows.iter().filter(|fellow| **fellow < context.identity.instance).count();
        if started.elapsed() >= TURN_DELAY * u32::try_from(ahead.min(MAX_TURNS)).unwrap_or_default()
        {
            ask_engines(directory, gateway).await;
            break;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    gateway.set_holdings_known();
}

/// Outcome of asking the other entry instances.
enum Outcome {
    /// One of them sent its list.
    Learned,
    /// None sent its list; at least one has it but sent it to another instance too recently.
    Later,
    /// None has a list, or none responded.
    None,
}

/// Learns from another entry instance which prompt parts end engines, before this one serves. If none answers in time,
/// the other instances' repairs bring the list later.
async fn learn_suspicions(context: &Context, directory: &Directory, gateway: &Gateway) {
    let mut random = Random::new(clock::unix_ns());
    let started = Instant::now();
    while started.elapsed() < SUSPICIONS_DEADLINE {
        let others =
            warmup::order(directory.entry_instances(), &context.identity.data_centre, &mut random);
        let mut just_started = directory.has_entries_report();
        let asked = others.into_iter().take(MAX_ASKED_FOR_SUSPICIONS);
        let ask = async |identity: Identity| {
            let question = Question::Suspicions;
            if !context.link(identity.address).is_connected_within(CONNECT_TIMEOUT).await {
                return (identity, None);
            }
            let answer =
                subscription::ask(context, identity.address, &question, SUSPICIONS_TIMEOUT).await;
            (identity, answer)
        };
        let mut answers = stream::iter(asked).map(ask).buffer_unordered(MAX_OPEN_QUESTIONS);
        while let Some((identity, answer)) = answers.next().await {
            if let Some(Answer::Suspicions(notices)) = answer {
                notices.iter().for_each(|notice| gateway.handle_notice(notice));
                info!(gateway.log, "suspicions_learnt"; "from" => %identity.instance,
                    "notices" => notices.len());
                return;
            }
            just_started &= answer == Some(Answer::Refused);
        }
        if just_started {
            break;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    info!(gateway.log, "suspicions_not_learnt"; "others" => directory.entry_instances().len());
}

async fn ask_instances(context: &Context, directory: &Directory, gateway: &Gateway) -> Outcome {
    let mut random = Random::new(clock::unix_ns());
    let mut outcome = Outcome::None;
    let fellows = gateway.balancer().fellow_keepers(Moment::now());
    let mut others = directory.entry_instances();
    others.retain(|identity| fellows.contains(&identity.instance));
    for identity in warmup::order(others, &context.identity.data_centre, &mut random) {
        if !context.link(identity.address).is_connected_within(CONNECT_TIMEOUT).await {
            continue;
        }
        match subscription::ask(context, identity.address, &Question::Holdings, CALL_TIMEOUT).await
        {
            Some(Answer::Holdings(notices)) => {
                notices.iter().for_each(|notice| gateway.handle_notice(notice));
                gateway.balancer().set_informed(Some(&identity.instance), Moment::now());
                info!(gateway.log, "holdings_learnt"; "from" => %identity.instance);
                return Outcome::Learned;
            }
            Some(Answer::Later) => outcome = Outcome::Later,
            Some(
                Answer::Update(_)
                | Answer::Document(_)
                | Answer::Refused
                | Answer::Suspicions(_)
                | Answer::Origin { .. }
                | Answer::Access(_)
                | Answer::Kept
                | Answer::Testimony(_)
                | Answer::Usage(_)
                | Answer::Time { .. }
                | Answer::Segment(_),
            )
            | None => {}
        }
    }
    outcome
}

async fn ask_engines(directory: &Directory, gateway: &Gateway) {
    let (_, targets) = directory.changed_since(0);
    let kept = gateway.balancer().uninformed_engines(Moment::now());
    let engines = targets.into_iter().filter(|target| kept.contains(&target.name));
    let lists = futures::future::join_all(engines.map(|target| ask_engine(gateway, target))).await;
    let mut tokens: u64 = 0;
    for notice in lists.into_iter().flatten() {
        if let Notice::Held { parts, .. } = &notice {
            tokens += parts.iter().map(|part| u64::from(part.tokens)).sum::<u64>();
        }
        gateway.handle_notice(&notice);
    }
    info!(gateway.log, "holdings_learnt"; "from" => "engines", "tokens" => tokens);
}

/// Asks one engine for the parts that it has cached. If it doesn't respond in time they count as not cached and are
/// computed again.
async fn ask_engine(gateway: &Gateway, target: Target) -> Option<Notice> {
    let list = time::timeout(CALL_TIMEOUT, read_list(gateway, &target)).await.ok()??;
    Some(Notice::Held { target: target.name, parts: list })
}

async fn read_list(gateway: &Gateway, target: &Target) -> Option<Vec<Part>> {
    let mut connection = gateway.pool.open(target.address).await.ok()?;
    let request = Request::builder()
        .uri(engine::HOLDINGS_PATH)
        .header(HOST, target.address.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?;
    engine::decode_holdings(&body.to_bytes())
}
