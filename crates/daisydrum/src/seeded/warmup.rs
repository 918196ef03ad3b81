//! Learns what the engines hold after a start: an instance that knows nothing of it has all prompts computed anew.
//!
//! Other entry instances are asked first. Where all have just started, the one with the smallest name asks the
//! engines, and the others learn from it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{clock, random::Random};
use fleet::{
    exchange::{Answer, Notice, Part, Question},
    registry::Target,
    warmup,
};
use gateway::{connection::Connection, state::Gateway};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::HOST};
use platform::engine;
use slog::info;
use tokio::time;

use crate::seeded::{context::Context, directory::Directory, subscription};

const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// An answer of several hundred kilobytes takes 0.4 s over a link of 10 Mbit/s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for each instance with a smaller name to learn before this one asks the engines itself.
const TURN_DELAY: Duration = Duration::from_millis(250);
/// Longest wait for others, however many there are.
const MAX_TURNS: usize = 4;

/// Learns what the engines hold, once.
pub(crate) async fn run(context: Context, directory: Directory, gateway: Arc<Gateway>) {
    while gateway.balancer().is_empty() || gateway.config_version() == 0 {
        time::sleep(RETRY_INTERVAL).await;
    }
    if context.settings.founding {
        // The engines start with the fleet and hold nothing.
        gateway.set_holdings_known();
        return;
    }
    let started = Instant::now();
    loop {
        match ask_instances(&context, &directory, &gateway).await {
            Outcome::Learned => break,
            Outcome::Later => {
                time::sleep(RETRY_INTERVAL).await;
                continue;
            }
            Outcome::None => {}
        }
        let smaller =
            |identity: &fleet::exchange::Identity| identity.instance < context.identity.instance;
        let ahead = directory.entries().iter().filter(|identity| smaller(identity)).count();
        if started.elapsed() >= TURN_DELAY * u32::try_from(ahead.min(MAX_TURNS)).unwrap_or_default()
        {
            ask_engines(&directory, &gateway).await;
            break;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    gateway.set_holdings_known();
}

/// What asking all other instances gave.
enum Outcome {
    /// One of them said what the engines hold.
    Learned,
    /// One of them knows but tells others now.
    Later,
    /// None of them knows.
    None,
}

async fn ask_instances(context: &Context, directory: &Directory, gateway: &Gateway) -> Outcome {
    let mut random = Random::new(clock::unix_ns());
    let mut outcome = Outcome::None;
    for identity in warmup::order(directory.entries(), &context.identity.data_centre, &mut random) {
        match subscription::ask(context, identity.address, &Question::Holdings, CALL_TIMEOUT).await
        {
            Some(Answer::Holdings(notices)) => {
                notices.iter().for_each(|notice| gateway.handle_notice(notice));
                info!(gateway.log, "holdings_learnt"; "from" => %identity.instance);
                return Outcome::Learned;
            }
            Some(Answer::Later) => outcome = Outcome::Later,
            Some(Answer::Update(_) | Answer::Document(_) | Answer::Refused) | None => {}
        }
    }
    outcome
}

async fn ask_engines(directory: &Directory, gateway: &Gateway) {
    let (_, targets) = directory.changed_since(0);
    let engines = targets.into_iter().filter(|target| target.stage.is_some());
    let lists = futures::future::join_all(engines.map(ask_engine)).await;
    let mut tokens: u64 = 0;
    for notice in lists.into_iter().flatten() {
        if let Notice::Held { parts, .. } = &notice {
            tokens += parts.iter().map(|part| u64::from(part.tokens)).sum::<u64>();
        }
        gateway.handle_notice(&notice);
    }
    info!(gateway.log, "holdings_learnt"; "from" => "engines", "tokens" => tokens);
}

/// What one engine holds; nothing if it doesn't say so in time, in which case its parts are computed anew.
async fn ask_engine(target: Target) -> Option<Notice> {
    let list = time::timeout(CALL_TIMEOUT, read_list(&target)).await.ok()??;
    Some(Notice::Held { target: target.name, parts: list })
}

async fn read_list(target: &Target) -> Option<Vec<Part>> {
    let mut connection = Connection::open(target.address).await.ok()?;
    let request = Request::builder()
        .uri(engine::HOLDINGS_PATH)
        .header(HOST, target.address.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    engine::decode_holdings(&body.to_bytes())
}
