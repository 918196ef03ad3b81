//! Encoding of messages. What instances of earlier builds can't decode follows what they know, and they leave it unread.

use common::name;
use credentials::lease::Reading;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    exchange::{Answer, Beginning, Notice, Question, ServiceVersions, Update},
    registry::Target,
};

/// Encodes targets, and after them the versions of their software and which of them are reclaimable, which instances of
/// earlier builds leave unread.
pub fn encode_targets(targets: &[Target]) -> Vec<u8> {
    [encode(&targets), encode(&software(targets)), encode(&reclaimable(targets))].concat()
}

/// Decodes targets with or without what instances of earlier builds don't send; `None` if the bytes are not valid.
pub fn decode_targets(bytes: &[u8]) -> Option<Vec<Target>> {
    let (mut targets, rest) = postcard::take_from_bytes::<Vec<Target>>(bytes).ok()?;
    let rest = set_software(&mut targets, rest);
    set_reclaimable(&mut targets, rest);
    Some(targets)
}

/// Encodes a question. The lifetimes of the streams whose origins are to be kept, or the start of the process that polls,
/// follow it.
pub fn encode_question(question: &Question) -> Vec<u8> {
    match question {
        Question::KeepOrigins(beginnings) => encode_beginnings(question, beginnings),
        Question::RecordOrigin { lifetime_ms, .. } => {
            [encode(question), encode(lifetime_ms)].concat()
        }
        Question::FollowChanges { started_unix_ns, .. } => {
            [encode(question), encode(started_unix_ns)].concat()
        }
        _ => encode(question),
    }
}

/// Decodes a question with or without what instances of earlier builds don't send; `None` if the bytes are not valid.
pub fn decode_question(bytes: &[u8]) -> Option<Question> {
    let (mut question, rest) = postcard::take_from_bytes::<Question>(bytes).ok()?;
    match &mut question {
        Question::KeepOrigins(beginnings) => set_lifetimes(beginnings, rest),
        Question::RecordOrigin { lifetime_ms, .. } => {
            *lifetime_ms = decode(rest).unwrap_or_default();
        }
        Question::FollowChanges { started_unix_ns, .. } => {
            *started_unix_ns = decode(rest).unwrap_or_default();
        }
        _ => {}
    }
    Some(question)
}

/// Encodes a message, and after it the lifetimes of the streams that it names.
pub fn encode_beginnings(message: &impl Serialize, beginnings: &[Beginning]) -> Vec<u8> {
    let lifetimes: Vec<Option<u64>> =
        beginnings.iter().map(|beginning| beginning.lifetime_ms).collect();
    [encode(message), encode(&lifetimes)].concat()
}

/// Decodes a message; `beginnings` yields the streams that it names, whose lifetimes follow it. `None` if the bytes are not
/// valid.
pub fn decode_beginnings<T: DeserializeOwned>(
    bytes: &[u8],
    beginnings: impl FnOnce(&mut T) -> &mut [Beginning],
) -> Option<T> {
    let (mut message, rest) = postcard::take_from_bytes::<T>(bytes).ok()?;
    set_lifetimes(beginnings(&mut message), rest);
    Some(message)
}

/// Sets the lifetimes of streams from their encoding; they stay unknown if it is missing.
fn set_lifetimes(beginnings: &mut [Beginning], bytes: &[u8]) {
    let lifetimes = decode::<Vec<Option<u64>>>(bytes).unwrap_or_default();
    for (beginning, lifetime_ms) in beginnings.iter_mut().zip(lifetimes) {
        beginning.lifetime_ms = lifetime_ms;
    }
}

/// Encodes an answer. What instances of earlier builds can't decode follows it, and they leave it unread: the versions of
/// the targets' software, then their ages, the roster, which targets are reclaimable, the earlier process, and the recent
/// kinds of notices.
pub fn encode_answer(answer: &Answer) -> Vec<u8> {
    match answer {
        Answer::Update(update) => {
            let extension = (&update.versions, update.roster);
            let software = encode(&software(&update.targets));
            [encode(answer), software, encode(&extension), encode_optional(update)].concat()
        }
        Answer::Suspicions(notices) => {
            let (recent, earlier): (Vec<Notice>, Vec<Notice>) =
                notices.iter().cloned().partition(Notice::is_recent);
            [encode(&Answer::Suspicions(earlier)), encode(&recent)].concat()
        }
        _ => encode(answer),
    }
}

/// Decodes an answer with or without what instances of earlier builds don't send; `None` if the bytes are not valid.
pub fn decode_answer(bytes: &[u8]) -> Option<Answer> {
    let (mut answer, rest) = postcard::take_from_bytes::<Answer>(bytes).ok()?;
    match &mut answer {
        Answer::Update(update) => {
            let rest = set_software(&mut update.targets, rest);
            let versions = postcard::take_from_bytes::<Vec<ServiceVersions>>(rest);
            let (versions, rest) = versions.unwrap_or_default();
            update.versions = versions;
            let (roster, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
            update.roster = roster;
            if let Ok((reading, rest)) = postcard::take_from_bytes::<Reading>(rest) {
                update.reading = Some(reading).filter(|reading| *reading != NO_READING);
                let rest = set_reclaimable(&mut update.targets, rest);
                update.predecessor = decode(rest);
            }
        }
        Answer::Suspicions(notices) => {
            notices.extend(decode::<Vec<Notice>>(rest).unwrap_or_default());
        }
        _ => {}
    }
    Some(answer)
}

fn software(targets: &[Target]) -> Vec<&name::Software> {
    targets.iter().map(|target| &target.software).collect()
}

/// Sets the targets' software from its encoding and returns the bytes after it; it stays unknown if that is missing.
fn set_software<'a>(targets: &mut [Target], bytes: &'a [u8]) -> &'a [u8] {
    let Ok((software, rest)) = postcard::take_from_bytes::<Vec<name::Software>>(bytes) else {
        return &[];
    };
    for (target, software) in targets.iter_mut().zip(software) {
        target.software = software;
    }
    rest
}

/// Stands for a reading that is absent where the reclaimable targets follow it. Builds that know nothing of these take it
/// for a reading from long ago, which renews no lease.
const NO_READING: Reading = Reading { version: 0, age_ms: u64::MAX, held_ms: 0 };

/// Encodes what not every update carries: the reading, which targets are reclaimable, and the earlier process.
fn encode_optional(update: &Update) -> Vec<u8> {
    let reclaimable = reclaimable(&update.targets);
    let reading = update.reading.unwrap_or(NO_READING);
    match update.predecessor {
        Some(predecessor) => {
            [encode(&reading), encode(&reclaimable), encode(&predecessor)].concat()
        }
        None if !reclaimable.is_empty() => [encode(&reading), encode(&reclaimable)].concat(),
        None => update.reading.map(|reading| encode(&reading)).unwrap_or_default(),
    }
}

/// Positions of the reclaimable ones among targets.
fn reclaimable(targets: &[Target]) -> Vec<usize> {
    let flags = targets.iter().enumerate();
    flags.filter(|(_, target)| target.reclaimable).map(|(position, _)| position).collect()
}

/// Marks the targets that are reclaimable and returns the bytes after the encoding of their positions; none is marked if
/// it is missing.
fn set_reclaimable<'a>(targets: &mut [Target], bytes: &'a [u8]) -> &'a [u8] {
    let Ok((positions, rest)) = postcard::take_from_bytes::<Vec<usize>>(bytes) else {
        return &[];
    };
    for position in positions {
        if let Some(target) = targets.get_mut(position) {
            target.reclaimable = true;
        }
    }
    rest
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("invariant: messages always encode")
}

/// Decodes a message; `None` if the bytes are not a valid one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
