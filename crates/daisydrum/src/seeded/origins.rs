//! Records and finds the origins of streams at the instances that hold them: control instances, and entry instances for
//! those of earlier builds, which ask no others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{clock::Moment, collections::Map, name};
use fleet::exchange::{self, Answer, Beginning, Identity, Question, Testimony};
use futures::{StreamExt, stream::FuturesUnordered};
use gateway::{origins, recording::Recording, state::Gateway};
use placement::{
    continuity::{
        Answers, HOLDERS, RETENTION,
        tally::Tally,
        testimony::{self, Verdict},
    },
    rendezvous,
};
use slog::debug;
use tokio::sync::mpsc;
use wire::peer::PeerClient;

use crate::seeded::{context::Context, directory::Directory, entry::spawn, subscription};

/// Longest wait for an answer; round trips take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Attempts to have an instance keep an origin, and to ask it for one.
const RECORD_ATTEMPTS: u32 = 3;
const FIND_ATTEMPTS: u32 = 2;
/// Origins that one call records.
const MAX_BATCH: usize = 64;

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
    let mut batch = Vec::new();
    while questions.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut begun = Vec::new();
        for question in batch.drain(..) {
            match question {
                origins::Question::Record { stream, origin, until, recording } => {
                    begun.push(Record { stream, origin, until, recording });
                }
                origins::Question::Find { stream, service, answers } => {
                    let holders = Holders::of(&context, &directory, stream.as_deref());
                    let (task, gateway) = (context.clone(), Arc::clone(&gateway));
                    spawn(&context, async move {
                        let found = find(&task, &gateway, holders, stream, service).await;
                        // The request may have ended meanwhile.
                        let _ended = answers.send(found);
                    });
                }
            }
        }
        record(&context, &directory, begun);
    }
}

/// Addresses of the instances that hold the origin of a stream.
#[derive(Clone, Debug)]
struct Holders {
    control: Vec<SocketAddr>,
    /// This instance may be one of them.
    entries: Vec<SocketAddr>,
}

impl Holders {
    fn of(context: &Context, directory: &Directory, stream: Option<&str>) -> Holders {
        let stream = stream.unwrap_or_default();
        let control: Vec<(name::Instance, SocketAddr)> = directory
            .control_addresses()
            .into_iter()
            .map(|address| (name::Instance(address.to_string()), address))
            .collect();
        let mut entries = directory.entry_instances();
        entries.push(context.identity.clone());
        let entries: Vec<(name::Instance, SocketAddr)> = entries
            .into_iter()
            .map(|Identity { instance, address, .. }| (instance, address))
            .collect();
        Holders { control: first(stream, &control), entries: first(stream, &entries) }
    }
}

fn first(stream: &str, instances: &[(name::Instance, SocketAddr)]) -> Vec<SocketAddr> {
    let names = instances.iter().map(|(instance, _)| instance);
    let first = rendezvous::first(stream, names, HOLDERS);
    let held = instances.iter().filter(|(instance, _)| first.contains(instance));
    held.map(|(_, address)| *address).collect()
}

/// What an instance is asked to keep.
#[derive(Clone, Debug)]
struct Record {
    stream: String,
    origin: exchange::Origin,
    until: Moment,
    recording: Recording,
}

impl Record {
    /// Time from now on until which the stream may be taken up, in milliseconds.
    fn lifetime_ms(&self) -> Option<u64> {
        u64::try_from(self.until.since(Moment::now()).as_millis()).ok()
    }

    fn beginning(&self) -> Beginning {
        let Record { stream, origin, .. } = self.clone();
        Beginning { stream, origin, lifetime_ms: self.lifetime_ms() }
    }
}

/// Has the holders keep the origins of streams, those of one control instance in one call.
fn record(context: &Context, directory: &Directory, records: Vec<Record>) {
    let mut calls: Map<SocketAddr, Vec<Record>> = Map::default();
    for record in records {
        let Holders { control, entries } = Holders::of(context, directory, Some(&record.stream));
        record.recording.set_holders(control.len());
        for address in control {
            calls.entry(address).or_default().push(record.clone());
        }
        let own = context.identity.address;
        let others: Vec<SocketAddr> =
            entries.into_iter().filter(|address| *address != own).collect();
        if others.is_empty() {
            // The request path has recorded it here.
            record.recording.apply(|tally| tally.kept_at_entry = true);
        }
        for address in others {
            spawn(context, record_at_entry(context.clone(), address, record.clone()));
        }
    }
    for (address, records) in calls {
        spawn(context, record_at_control(context.clone(), address, records));
    }
}

async fn record_at_entry(context: Context, address: SocketAddr, record: Record) {
    let lifetime_ms = record.lifetime_ms();
    let Record { stream, origin, recording, .. } = record;
    let question = Question::RecordOrigin { stream, origin, lifetime_ms };
    for _ in 0..RECORD_ATTEMPTS {
        let answer = subscription::ask(&context, address, &question, ANSWER_TIMEOUT).await;
        if matches!(answer, Some(Answer::Origin { .. })) {
            recording.apply(|tally| tally.kept_at_entry = true);
            return;
        }
    }
}

/// Has a control instance keep origins, those that are not withdrawn before the connection is established.
async fn record_at_control(context: Context, address: SocketAddr, mut records: Vec<Record>) {
    let mut is_sent = false;
    for attempt in 0..RECORD_ATTEMPTS {
        // The disk of the control instance may be slow.
        let limit = ANSWER_TIMEOUT * 2_u32.pow(attempt);
        let call = async |client: &PeerClient, deadline| {
            if !is_sent {
                records.retain(|record| record.recording.send());
                is_sent = true;
            }
            if records.is_empty() {
                return Ok(Vec::new());
            }
            let beginnings = records.iter().map(Record::beginning).collect();
            let question = exchange::encode_question(&Question::KeepOrigins(beginnings));
            client.exchange(deadline, question).await
        };
        let answer = match context.link(address).call(limit, call).await {
            Ok(answer) => exchange::decode_answer(&answer),
            Err(error) => {
                debug!(context.log, "origins_not_recorded"; "address" => %address,
                    "fault" => %error);
                continue;
            }
        };
        let change: fn(&mut Tally) = match answer {
            Some(Answer::Kept) => |tally| tally.kept += 1,
            Some(Answer::Refused) => |tally| tally.refused += 1,
            Some(Answer::Later) => |tally| tally.unsaved += 1,
            // All were withdrawn.
            _ => return,
        };
        records.iter().for_each(|record| record.recording.apply(change));
        return;
    }
}

/// Asks the holders of a stream's origin for it.
async fn find(
    context: &Context,
    gateway: &Gateway,
    holders: Holders,
    stream: Option<String>,
    service: Option<name::Service>,
) -> Answers {
    let named = stream.is_some();
    let stream = stream.unwrap_or_default();
    let control = ask_control(context, &holders.control, &stream, service);
    let entries = async {
        if named {
            ask_entries(context, gateway, holders.entries, &stream).await
        } else {
            AtEntries::Missing
        }
    };
    match control.await {
        Control::Known(origin) => Answers::Known(origin),
        // With one version it doesn't matter what entry instances know.
        Control::Testified(testimonies) if is_one_version(&testimonies) => {
            Answers::Unrecorded(testimonies)
        }
        Control::Testified(mut testimonies) => match entries.await {
            // An entry instance of an earlier build records at others only.
            AtEntries::Known(origin) => Answers::Known(origin),
            AtEntries::None | AtEntries::Missing => {
                if !named {
                    // There may be a record of the stream under a name that isn't known.
                    testimonies.iter_mut().for_each(|testimony| testimony.complete_ms = 0);
                }
                Answers::Unrecorded(testimonies)
            }
        },
        Control::Earlier => match entries.await {
            AtEntries::Known(origin) => Answers::Known(origin),
            AtEntries::None => Answers::UnrecordedAtEntries,
            AtEntries::Missing => Answers::MissingAtEntries,
        },
        Control::Missing => match entries.await {
            AtEntries::Known(origin) => Answers::Known(origin),
            AtEntries::None | AtEntries::Missing => Answers::Missing,
        },
    }
}

fn is_one_version(testimonies: &[Testimony]) -> bool {
    let mut versions = testimonies.iter().flat_map(|testimony| &testimony.versions);
    let first = versions.next();
    versions.all(|version| first.is_some_and(|first| version.software == first.software))
}

/// What the control instances that would hold an origin know of it.
#[derive(Debug)]
enum Control {
    Known(exchange::Origin),
    /// A majority has answered.
    Testified(Vec<Testimony>),
    /// A majority is of an earlier build that keeps no records, or no control instance is known.
    Earlier,
    Missing,
}

async fn ask_control(
    context: &Context,
    holders: &[SocketAddr],
    stream: &str,
    service: Option<name::Service>,
) -> Control {
    let question = &Question::Testify { stream: stream.to_owned(), service };
    let mut calls: FuturesUnordered<_> =
        holders.iter().map(|address| ask_twice(context, *address, question)).collect();
    let mut testimonies = Vec::new();
    let mut refused = 0;
    while let Some(answer) = calls.next().await {
        match answer {
            Some(Answer::Testimony(testimony)) => testimonies.push(testimony),
            Some(Answer::Refused) => refused += 1,
            _ => {}
        }
        match testimony::judge(&testimonies, holders.len(), RETENTION) {
            Verdict::Recorded(origin) => return Control::Known(origin),
            Verdict::Unrecorded => return Control::Testified(testimonies),
            Verdict::Unclear => {}
        }
    }
    let is_earlier = refused >= testimony::majority(holders.len());
    if is_earlier || holders.is_empty() { Control::Earlier } else { Control::Missing }
}

/// What the entry instances that would hold an origin know of it.
#[derive(Debug)]
enum AtEntries {
    Known(exchange::Origin),
    /// All have answered and have run for long enough.
    None,
    Missing,
}

async fn ask_entries(
    context: &Context,
    gateway: &Gateway,
    holders: Vec<SocketAddr>,
    stream: &str,
) -> AtEntries {
    let question = &Question::Origin { stream: stream.to_owned() };
    let mut calls: FuturesUnordered<_> = holders
        .into_iter()
        .map(|address| async move {
            if address == context.identity.address {
                return Some(own_answer(gateway, stream));
            }
            ask_twice(context, address, question).await
        })
        .collect();
    let mut found = AtEntries::None;
    while let Some(answer) = calls.next().await {
        match answer {
            Some(Answer::Origin { origin: Some(origin), .. }) => return AtEntries::Known(origin),
            Some(Answer::Origin { origin: None, running_ms })
                if Duration::from_millis(running_ms) >= RETENTION => {}
            _ => found = AtEntries::Missing,
        }
    }
    found
}

async fn ask_twice(context: &Context, address: SocketAddr, question: &Question) -> Option<Answer> {
    for _ in 0..FIND_ATTEMPTS {
        let answer = subscription::ask(context, address, question, ANSWER_TIMEOUT).await;
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// This instance's answer to a question for the origin of a stream.
pub(crate) fn own_answer(gateway: &Gateway, stream: &str) -> Answer {
    let running = gateway.origins.running_time();
    Answer::Origin {
        origin: gateway.origins.get(stream),
        running_ms: u64::try_from(running.as_millis()).unwrap_or(u64::MAX),
    }
}
