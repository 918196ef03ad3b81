//! Records and finds the origins of streams at the instances that hold them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::exchange::{Answer, Origin, Question};
use futures::{StreamExt, stream::FuturesUnordered};
use gateway::{origins, state::Gateway};
use placement::{
    continuity::{Answers, HOLDERS},
    rendezvous,
};
use tokio::sync::mpsc;

use crate::seeded::{context::Context, directory::Directory, entry::spawn, subscription};

/// Longest wait for an answer; round trips take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Attempts to have an instance keep an origin, and to ask it for one.
const RECORD_ATTEMPTS: u32 = 3;
const FIND_ATTEMPTS: u32 = 2;

/// Starts to ask the questions of the request path.
pub(crate) fn start(
    context: &Context,
    directory: &Directory,
    gateway: &Arc<Gateway>,
    questions: mpsc::Receiver<origins::Question>,
) {
    spawn(context, run(context.clone(), directory.clone(), Arc::clone(gateway), questions));
}

async fn run(
    context: Context,
    directory: Directory,
    gateway: Arc<Gateway>,
    mut questions: mpsc::Receiver<origins::Question>,
) {
    while let Some(question) = questions.recv().await {
        let (task, gateway) = (context.clone(), Arc::clone(&gateway));
        match question {
            origins::Question::Record { stream, origin, recorded } => {
                let holders = holders(&context, &directory, &stream);
                spawn(&context, async move {
                    record(&task, holders, &stream, &origin, recorded).await;
                });
            }
            origins::Question::Find { stream, answers } => {
                let holders = holders(&context, &directory, &stream);
                spawn(&context, async move {
                    // The request may have ended meanwhile.
                    let _ended = answers.send(find(&task, &gateway, holders, &stream).await);
                });
            }
        }
    }
}

/// Addresses of the instances that hold the origin of a stream.
fn holders(context: &Context, directory: &Directory, stream: &str) -> Vec<SocketAddr> {
    let others = directory.entry_instances();
    let own = &context.identity;
    let instances = others.iter().chain([own]).map(|identity| &identity.instance);
    let first = rendezvous::first(stream, instances, HOLDERS);
    let address = |identity: &fleet::exchange::Identity| identity.address;
    let held = others.iter().chain([own]).filter(|identity| first.contains(&identity.instance));
    held.map(address).collect()
}

async fn record(
    context: &Context,
    holders: Vec<SocketAddr>,
    stream: &str,
    origin: &Origin,
    recorded: tokio::sync::oneshot::Sender<()>,
) {
    let mut recorded = Some(recorded);
    let others: Vec<SocketAddr> =
        holders.into_iter().filter(|address| *address != context.identity.address).collect();
    if others.is_empty() {
        // The request path has recorded it here.
        let _ended = recorded.take().map(|recorded| recorded.send(()));
    }
    let mut calls: FuturesUnordered<_> = others
        .into_iter()
        .map(|address| async move {
            let question =
                Question::RecordOrigin { stream: stream.to_owned(), origin: origin.clone() };
            for _ in 0..RECORD_ATTEMPTS {
                let answer = subscription::ask(context, address, &question, ANSWER_TIMEOUT).await;
                if matches!(answer, Some(Answer::Origin { .. })) {
                    return true;
                }
            }
            false
        })
        .collect();
    while let Some(kept) = calls.next().await {
        if let Some(recorded) = recorded.take_if(|_| kept) {
            // The stream may have ended meanwhile.
            let _ended = recorded.send(());
        }
    }
}

async fn find(
    context: &Context,
    gateway: &Gateway,
    holders: Vec<SocketAddr>,
    stream: &str,
) -> Answers {
    let retention = gateway.origins.retention();
    let mut answers = Answers::Unknown;
    let question = &Question::Origin { stream: stream.to_owned() };
    let mut calls: FuturesUnordered<_> = holders
        .into_iter()
        .map(|address| async move {
            if address == context.identity.address {
                return Some(own_answer(gateway, stream));
            }
            for _ in 0..FIND_ATTEMPTS {
                let answer = subscription::ask(context, address, question, ANSWER_TIMEOUT).await;
                if answer.is_some() {
                    return answer;
                }
            }
            None
        })
        .collect();
    while let Some(answer) = calls.next().await {
        match answer {
            Some(Answer::Origin { origin: Some(origin), .. }) => return Answers::Known(origin),
            Some(Answer::Origin { origin: None, running_ms })
                if Duration::from_millis(running_ms) >= retention => {}
            _ => answers = Answers::Missing,
        }
    }
    answers
}

/// This instance's answer to a question for the origin of a stream.
pub(crate) fn own_answer(gateway: &Gateway, stream: &str) -> Answer {
    let running = gateway.origins.running_time();
    Answer::Origin {
        origin: gateway.origins.get(stream),
        running_ms: u64::try_from(running.as_millis()).unwrap_or(u64::MAX),
    }
}
