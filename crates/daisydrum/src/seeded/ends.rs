//! Asks other instances whether the process of a target has ended.

use std::{net::SocketAddr, time::Duration};

use common::{collections::Map, name, random};
use fleet::exchange::{self, Access, Answer, Identity};
use futures::{StreamExt, stream::FuturesUnordered};
use gateway::ends;
use placement::end::{self, Verdict};
use tokio::sync::mpsc;

use crate::seeded::{context::Context, directory::Directory, entry::spawn, subscription};

/// Longest wait for an answer: two attempts to connect and a round trip.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// Instances that are asked about a process.
const ASKED: usize = 4;

/// Starts to ask the questions of the request path.
pub(crate) fn start(
    context: &Context,
    directory: &Directory,
    questions: mpsc::Receiver<ends::Question>,
) {
    spawn(context, run(context.clone(), directory.clone(), questions));
}

async fn run(
    context: Context,
    directory: Directory,
    mut questions: mpsc::Receiver<ends::Question>,
) {
    let mut random = random::Random::new(common::clock::unix_ns());
    while let Some(ends::Question { process, own, verdict }) = questions.recv().await {
        let task = context.clone();
        let peers = choose(directory.entry_instances(), &mut random);
        spawn(&context, async move {
            // The examination may have ended meanwhile.
            let _ended = verdict.send(decide(&task, peers, own, process).await);
        });
    }
}

/// Draws the instances that are asked, from as many data centres as there are: a cut may take all of one.
fn choose(others: Vec<Identity>, random: &mut random::Random) -> Vec<SocketAddr> {
    let mut drawn: Vec<(u64, Identity)> =
        others.into_iter().map(|identity| (random.next_u64(), identity)).collect();
    drawn.sort_unstable_by_key(|(number, _)| *number);
    let mut counts: Map<name::DataCentre, usize> = Map::default();
    let mut ranked: Vec<(usize, SocketAddr)> = Vec::new();
    for (_, Identity { address, data_centre, .. }) in drawn {
        let count = counts.entry(data_centre).or_default();
        ranked.push((*count, address));
        *count += 1;
    }
    ranked.sort_by_key(|(count, _)| *count);
    ranked.into_iter().take(ASKED).map(|(_, address)| address).collect()
}

async fn decide(
    context: &Context,
    peers: Vec<SocketAddr>,
    own: Access,
    process: exchange::Process,
) -> Verdict {
    let question = &exchange::Question::Access(process);
    let mut answers = Vec::new();
    let asked = peers.len();
    let mut calls: FuturesUnordered<_> = peers
        .into_iter()
        .map(|address| subscription::ask(context, address, question, ANSWER_TIMEOUT))
        .collect();
    let mut verdict = end::decide(own, asked, &answers);
    while verdict == Verdict::Open
        && let Some(answer) = calls.next().await
    {
        answers.push(match answer {
            Some(Answer::Access(reach)) => reach,
            _ => Access::Unknown,
        });
        verdict = end::decide(own, asked, &answers);
    }
    verdict
}
