//! Messages of relayed requests, and what is no such message.

use common::name;
use fleet::relay::{
    Beginning, Frame, Head, Request, Used, Word, decode_frame, decode_request, encode_frame,
    encode_request,
};
use proptest::prelude::*;

fn headers() -> impl Strategy<Value = Vec<(String, Vec<u8>)>> {
    prop::collection::vec(("[a-z-]{1,12}", prop::collection::vec(any::<u8>(), 0..24)), 0..6)
}

fn request() -> impl Strategy<Value = Request> {
    let began = prop::option::of((prop::option::of("[a-z]{1,8}"), "[a-z0-9]{1,8}"));
    let numbers = (any::<u64>(), prop::option::of(any::<u64>()), any::<u32>(), any::<u32>());
    ("[A-Z]{3,6}", "/[a-z/]{0,20}", headers(), numbers, began).prop_map(
        |(method, uri, headers, (remaining_ms, resume_after, runs, sends), began)| Request {
            method,
            uri,
            headers,
            remaining_ms,
            resume_after,
            began: began.map(|(service, software)| Beginning {
                service: service.map(name::Service),
                software: name::Software(software),
            }),
            used: Used { runs, sends },
        },
    )
}

fn frame() -> impl Strategy<Value = Frame> {
    let word = prop_oneof![
        Just(Word::Answered),
        Just(Word::NotRun),
        Just(Word::CutOff),
        Just(Word::Unavailable)
    ];
    let head = (word, 100_u16..600, headers())
        .prop_map(|(word, status, headers)| Frame::Head(Head { word, status, headers }));
    let data = prop::collection::vec(any::<u8>(), 0..200).prop_map(Frame::Data);
    prop_oneof![head, data, Just(Frame::End), Just(Frame::Broken)]
}

proptest! {
    #[test]
    fn a_request_and_its_body_arrive_as_they_were_sent(
        request in request(),
        body in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let bytes = encode_request(&request, &body);
        prop_assert_eq!(decode_request(&bytes), Some((request, &body[..])));
    }

    #[test]
    fn a_frame_arrives_as_it_was_sent(frame in frame()) {
        prop_assert_eq!(decode_frame(&encode_frame(&frame)), Some(frame));
    }

    #[test]
    fn bytes_that_are_no_message_are_rejected_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let _request = decode_request(&bytes);
        let _frame = decode_frame(&bytes);
    }

    #[test]
    fn a_head_that_was_cut_short_is_no_head(frame in frame(), cut in 1_usize..40) {
        if let Frame::Head(_) = frame {
            let bytes = encode_frame(&frame);
            let kept = bytes.len().saturating_sub(cut);
            prop_assert_eq!(decode_frame(&bytes[..kept]), None);
        }
    }
}
