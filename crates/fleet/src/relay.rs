//! Messages by which one entry instance has another one serve a request, each in a length-delimited frame.
//!
//! The connection begins with [`PREFACE`] from both sides. Then one request follows another: [`Request`], and in return a
//! [`Frame::Head`], any number of [`Frame::Data`], and [`Frame::End`] or [`Frame::Broken`]. Closing the connection cancels
//! the request.

use common::name;
use serde::{Deserialize, Serialize};

use crate::exchange;

/// First bytes of a connection, which no other protocol on the peers' port begins with.
pub const PREFACE: [u8; 8] = *b"relay/1\n";
/// Largest frame, in bytes: the largest body of a request that a configuration may allow, and its head.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const HEAD: u8 = 0;
const DATA: u8 = 1;
const END: u8 = 2;
const BROKEN: u8 = 3;

/// A request without its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Headers as the caller sent them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Id of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// Where the stream began.
    pub began: Option<Beginning>,
    /// What earlier attempts have used up.
    pub used: Used,
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// The service; `None` if the route's only one.
    pub service: Option<name::Service>,
    /// The version of its target's software.
    pub software: name::Software,
}

/// What the attempts of a request have used up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// Attempts in which a target ran it or may have run it.
    pub runs: u32,
    /// Sends to targets.
    pub sends: u32,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// A target ran it or may have run it.
    Answered,
    /// It did not run and will not: the instance refuses it.
    NotRun,
    /// It did not run and will not: the instance is cut off from the service, too.
    CutOff,
    /// It did not run and will not: the instance stops, serves too many requests of its peers or has no configuration yet.
    Unavailable,
}

/// Status, headers and meaning of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// What became of the request.
    pub word: Word,
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Where the stream began, if the response is one. It follows the other fields; see [`encode_frame`].
    #[serde(skip)]
    pub began: Option<Beginning>,
}

/// Part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Its beginning.
    Head(Head),
    /// Bytes of its body.
    Data(Vec<u8>),
    /// Its end; the body is complete.
    End,
    /// Its end; the body is incomplete.
    Broken,
}

/// Encodes a request with its body.
pub fn encode_request(request: &Request, body: &[u8]) -> Vec<u8> {
    [&exchange::encode(request)[..], body].concat()
}

/// Decodes a request and its body; `None` if the bytes are not valid.
pub fn decode_request(bytes: &[u8]) -> Option<(Request, &[u8])> {
    postcard::take_from_bytes(bytes).ok()
}

/// Encodes part of a response. Instances of earlier builds leave unread where the stream began.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    match frame {
        Frame::Head(head) => {
            [&[HEAD], &exchange::encode(head)[..], &exchange::encode(&head.began)].concat()
        }
        Frame::Data(bytes) => [&[DATA], &bytes[..]].concat(),
        Frame::End => vec![END],
        Frame::Broken => vec![BROKEN],
    }
}

/// Decodes part of a response, with or without where the stream began; `None` if the bytes are not valid.
pub fn decode_frame(bytes: &[u8]) -> Option<Frame> {
    let (kind, rest) = bytes.split_first()?;
    match *kind {
        HEAD => {
            let (mut head, rest) = postcard::take_from_bytes::<Head>(rest).ok()?;
            if !rest.is_empty() {
                head.began = exchange::decode(rest)?;
            }
            Some(Frame::Head(head))
        }
        DATA => Some(Frame::Data(rest.to_vec())),
        END if rest.is_empty() => Some(Frame::End),
        BROKEN if rest.is_empty() => Some(Frame::Broken),
        _ => None,
    }
}
