//! Bytes of any kind in place of messages between instances: decoding doesn't panic and holds no more than they say.

use std::net::SocketAddr;

use common::name;
use fleet::{
    exchange::{
        self, Answer, Crashes, Cursor, Digest, Dispatch, Identity, Kind, Notice, Part, Question,
        Reach, Suspicion, Update, decode_answer, encode_answer,
    },
    relay::{self, decode_frame, decode_request, encode_frame, encode_request},
};
use proptest::prelude::*;

/// Largest peak of the test's own memory, in KB: a list whose announced length is believed takes gigabytes.
const MEMORY_LIMIT_KB: u64 = 128 * 1024;
/// The largest number that a length can say, as it is encoded.
const HUGE_LENGTHS: [&[u8]; 3] = [
    &[0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0x01],
    &[0xFF, 0xFF, 0xFF, 0xFF, 0x0F],
    &[0xFF, 0xFF, 0xFF, 0x7F],
];

fn assert_memory_is_bounded() {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < MEMORY_LIMIT_KB, "{peak} KB");
}

/// Decodes bytes as each message; what is decoded says no more than they do. Fields of earlier builds' messages that are missing
/// have a default, which takes a few bytes.
fn decode_all(bytes: &[u8]) {
    if let Some(question) = exchange::decode::<Question>(bytes) {
        assert!(exchange::encode(&question).len() <= bytes.len(), "{question:?}");
    }
    if let Some(notices) = exchange::decode::<Vec<Notice>>(bytes) {
        assert!(exchange::encode(&notices).len() <= bytes.len(), "{notices:?}");
    }
    if let Some(notice) = exchange::decode::<Notice>(bytes) {
        assert!(exchange::encode(&notice).len() <= bytes.len(), "{notice:?}");
    }
    if let Some(answer) = decode_answer(bytes) {
        assert!(encode_answer(&answer).len() <= 2 * bytes.len() + 16, "{answer:?}");
    }
    if let Some(frame) = decode_frame(bytes) {
        assert!(encode_frame(&frame).len() <= bytes.len() + 1, "{frame:?}");
    }
    if let Some((request, body)) = decode_request(bytes) {
        assert!(encode_request(&request, body).len() <= bytes.len(), "{request:?}");
    }
}

/// Valid messages with lists within lists.
fn messages() -> Vec<Vec<u8>> {
    let target = name::Target::from("engine-1");
    let address: SocketAddr = "127.0.0.1:7380".parse().expect("it is an address");
    let identity = Identity {
        instance: name::Instance::from("entry-1"),
        address,
        data_centre: name::DataCentre::from("suva"),
        kind: Kind::Entry,
    };
    let parts = vec![Part { id: 1, tokens: 300 }, Part { id: u64::MAX, tokens: u32::MAX }];
    let dispatch = Dispatch {
        number: 7,
        target: target.clone(),
        prompt_us: 1,
        overhead_us: 2,
        output_tokens: 3,
        parts: parts.clone(),
    };
    let suspicion = Suspicion { part: 1, clearings: 1, ends: 2, age_ms: 3 };
    let crashes =
        Crashes { request: Digest(9), clearings: 1, processes: vec![1, 2], trials: 1, age_ms: 4 };
    let service = name::Service::from("engines");
    let reach = Reach {
        instance: name::Instance::from("entry-1"),
        started_unix_ms: 1,
        number: 2,
        cut_off: vec![service.clone()],
    };
    let notices = vec![
        Notice::Sent(dispatch),
        Notice::Held { target, parts },
        Notice::Suspicions { service, suspicions: vec![suspicion; 3] },
        Notice::Crashes(vec![crashes; 2]),
        Notice::Reach(reach),
    ];
    let update = Update {
        cursor: Cursor { incarnation: 1, revision: 2 },
        contact: true,
        version: 3,
        targets: Vec::new(),
        changing: vec![name::Target::from("engine-2")],
        control: vec![address; 3],
        entries: vec![identity.clone(); 3],
        versions: Vec::new(),
        roster: 5,
        reading: None,
        predecessor: None,
    };
    let headers = vec![(String::from("x-a"), vec![1, 2, 3]); 4];
    let began = Some(relay::Beginning { service: None, software: name::Software::from("v1") });
    let request = relay::Request {
        method: String::from("POST"),
        uri: String::from("/a"),
        headers: headers.clone(),
        remaining_ms: 5,
        resume_after: Some(4),
        began: began.clone(),
        used: relay::Used::default(),
    };
    let head = relay::Head { word: relay::Word::Answered, status: 200, headers, began };
    vec![
        exchange::encode(&notices),
        exchange::encode(&Question::Follow {
            from: identity,
            cursor: Cursor::default(),
            version: 1,
            wait_ms: 2,
        }),
        encode_answer(&Answer::Update(update)),
        encode_answer(&Answer::Suspicions(notices)),
        encode_request(&request, b"body"),
        encode_frame(&relay::Frame::Head(head)),
    ]
}

// A datagram whose list announces 2^64 elements must cost no more than a datagram.
#[test]
fn a_length_that_is_not_there_costs_nothing() {
    for message in messages() {
        for position in 0..=message.len() {
            for huge in HUGE_LENGTHS {
                let replaced = message.get(position + 1..).unwrap_or_default();
                decode_all(&[&message[..position], huge, replaced].concat());
                decode_all(&[&message[..position], huge].concat());
            }
        }
    }
    assert_memory_is_bounded();
}

proptest! {
    #[test]
    fn bytes_of_any_kind_neither_panic_nor_grow(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
    ) {
        decode_all(&bytes);
        // The kind of a message is a small number.
        for kind in 0_u8..16 {
            decode_all(&[&[kind], &bytes[..]].concat());
        }
        assert_memory_is_bounded();
    }

    #[test]
    fn damaged_messages_neither_panic_nor_grow(
        message in prop::sample::select(messages()),
        damages in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut damaged = message.clone();
        for (position, byte) in damages {
            let position = position.index(damaged.len());
            damaged[position] = byte;
        }
        decode_all(&damaged);
        decode_all(&damaged[..cut.index(damaged.len())]);
        decode_all(&message[cut.index(message.len())..]);
        assert_memory_is_bounded();
    }
}
