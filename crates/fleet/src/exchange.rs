//! Messages between the instances of one fleet, encoded with `postcard`.

mod access;
mod earlier;
mod encoding;
pub mod load;
mod reach;
pub mod segment;

use std::net::SocketAddr;

use common::name;
use credentials::lease::Reading;
use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use self::{
    access::{Access, Process},
    encoding::{
        decode, decode_answer, decode_beginnings, decode_question, decode_targets, encode,
        encode_answer, encode_beginnings, encode_question, encode_targets,
    },
    reach::{MAX_CUT_OFF, Reach},
};
use crate::{
    condition::Rate, departure::Departure, register::Document, registry::Target, standing::Record,
    succession::Predecessor, usage,
};

/// Name, address, data centre and kind of an instance, as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Address for connections of its peers.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: name::DataCentre,
    /// Whether it serves callers or keeps the replicated state.
    pub kind: Kind,
}

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Serves callers.
    Entry,
    /// Keeps the replicated state and receives the announcements of targets.
    Control,
}

/// Position up to which an instance has followed a control instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the control instance's process; a cursor of an earlier one counts as the start.
    pub incarnation: u64,
    /// Revision of the control instance's registry.
    pub revision: u64,
}

/// A question to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Long poll to a control instance for changes: answered as soon as there is one, at the latest after `wait_ms`.
    Follow {
        /// The instance that asks.
        from: Identity,
        /// Position up to which it has the changes.
        cursor: Cursor,
        /// Version of the configuration that it holds; 0 for none.
        version: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Asks an entry instance which prompt parts the engines have cached.
    Holdings,
    /// Asks for the configuration that the instance holds, if that is newer than a version.
    Fetch {
        /// The version.
        above: u64,
    },
    /// Asks an entry instance which prompt parts and requests have ended targets, or a control instance which it keeps.
    Suspicions,
    /// Asks an entry instance to keep the origin of a stream; answered with what it keeps.
    RecordOrigin {
        /// Id of the request that began the stream.
        stream: String,
        /// The origin.
        origin: Origin,
        /// As [`Beginning::lifetime_ms`].
        #[serde(skip)]
        lifetime_ms: Option<u64>,
    },
    /// Asks an entry instance for the origin of a stream.
    Origin {
        /// Id of the request that began the stream.
        stream: String,
    },
    /// Asks an entry instance whether a target's process accepts its connections.
    Access(Process),
    /// Asks a control instance to keep the origins of streams. Instances of earlier builds refuse it.
    KeepOrigins(Vec<Beginning>),
    /// Asks a control instance what it knows of a stream and of the versions of its service. Instances of earlier builds
    /// refuse it.
    Testify {
        /// Id of the request that began the stream; empty if it isn't known.
        stream: String,
        /// The service; `None` if the route has several.
        service: Option<name::Service>,
    },
    /// Asks a control instance to save that targets leave. Instances of earlier builds refuse it.
    KeepDepartures(Vec<Departure>),
    /// Asks a control instance to keep what is held against suspects. Instances of earlier builds refuse it.
    KeepStandings(Vec<Record>),
    /// As [`Question::Follow`], answered without the entry instances if they are those that the instance has already. Instances
    /// of earlier builds refuse it.
    FollowChanges {
        /// The instance that asks.
        from: Identity,
        /// Position up to which it has the changes.
        cursor: Cursor,
        /// Version of the configuration that it holds; 0 for none.
        version: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
        /// Digest of the entry instances that the last answer listed; 0 for none.
        roster: u64,
        /// Start of the asking process, in nanoseconds since the Unix epoch; 0 from instances of earlier builds. It follows
        /// the other fields.
        #[serde(skip)]
        started_unix_ns: u64,
    },
    /// Asks a control instance to keep what an entry instance has counted. Sent, as the following ones, only where the
    /// platform's API is set; instances of earlier builds refuse it.
    KeepUsage(usage::Report),
    /// Asks a control instance for what it keeps of the usage of these windows, and of all services.
    Usage(Vec<u64>),
    /// Asks a control instance for the time by its clock.
    Time,
    /// Asks a control instance for a part of a newer configuration, or of the difference to it. Instances of earlier builds
    /// refuse it; they answer [`Question::Fetch`].
    FetchSegment(segment::Wanted),
}

/// A stream and its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// Id of the request that began the stream.
    pub stream: String,
    /// The origin.
    pub origin: Origin,
    /// Time from now on until which the stream may be taken up, in milliseconds; `None` from instances of earlier builds. It
    /// follows the other fields; see [`encode_question`].
    #[serde(skip)]
    pub lifetime_ms: Option<u64>,
}

/// What a control instance knows of a stream and of the versions of its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Testimony {
    /// The stream's origin; `None` if it has no record.
    pub origin: Option<Origin>,
    /// Time for which no record is missing, in milliseconds. Once it reaches the time for which versions count that have gone,
    /// no lost record is of a stream that may be taken up.
    pub complete_ms: u64,
    /// Versions that the service's targets have, or had lately.
    pub versions: Vec<VersionAge>,
}

/// How long a software version of a service has been known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAge {
    /// The version.
    pub software: name::Software,
    /// Time since it was first seen, in milliseconds.
    pub first_ms: u64,
    /// Time since a target that takes requests was last known to have it, in milliseconds.
    pub last_ms: u64,
}

/// The versions of a service; see [`Update::versions`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: name::Service,
    /// How long each of its versions has been known.
    pub ages: Vec<VersionAge>,
}

/// The service and the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: name::Service,
    /// The version of its target's software.
    pub software: name::Software,
    /// Number of the run that began the stream, from 0, among those of its request.
    pub run: u32,
}

/// Changes at a control instance since a cursor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Position after these changes.
    pub cursor: Cursor,
    /// Whether the instance is in contact with the leader of the replicated log.
    pub contact: bool,
    /// Version of the configuration held; 0 for none.
    pub version: u64,
    /// Targets that changed.
    pub targets: Vec<Target>,
    /// Engines that were ordered to change their stage; they take no new work until they have.
    pub changing: Vec<name::Target>,
    /// Peer addresses of all known control instances.
    pub control: Vec<SocketAddr>,
    /// All known entry instances; none if `roster` is the one of the question.
    pub entries: Vec<Identity>,
    /// How long the control instance has known the software versions of the services whose targets changed. They follow
    /// the other fields; see [`encode_answer`].
    #[serde(skip)]
    pub versions: Vec<ServiceVersions>,
    /// Digest of the entry instances; 0 from instances of earlier builds. It follows the other fields, too.
    #[serde(skip)]
    pub roster: u64,
    /// The newest reading of the configuration's version; `None` where API keys need none, and then not sent.
    #[serde(skip)]
    pub reading: Option<Reading>,
    /// What the control instance knows of an earlier process of the instance that asks; sent with the first update only.
    #[serde(skip)]
    pub predecessor: Option<Predecessor>,
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Answers [`Question::Follow`].
    Update(Update),
    /// Answers [`Question::Holdings`]: one [`Notice::Held`] for each engine, its least recently used parts first.
    Holdings(Vec<Notice>),
    /// Answers [`Question::Fetch`]; `None` if the version held is not newer.
    Document(Option<Document>),
    /// The answer is large and was given to another instance too recently; retry, or ask another instance.
    Later,
    /// The question can't be decoded, or this instance doesn't answer questions of its kind.
    Refused,
    /// Answers [`Question::Suspicions`]: [`Notice::Suspicions`] and [`Notice::Crashes`]; see [`encode_answer`].
    Suspicions(Vec<Notice>),
    /// Answers [`Question::RecordOrigin`] and [`Question::Origin`].
    Origin {
        /// The origin; `None` if it isn't known.
        origin: Option<Origin>,
        /// Time since the process started, in milliseconds; it knows of no origin from before.
        running_ms: u64,
    },
    /// Answers [`Question::Access`].
    Access(Access),
    /// Answers [`Question::KeepOrigins`], [`Question::KeepDepartures`], [`Question::KeepStandings`] and
    /// [`Question::KeepUsage`].
    Kept,
    /// Answers [`Question::Testify`].
    Testimony(Testimony),
    /// Answers [`Question::Usage`].
    Usage(usage::Collection),
    /// Answers [`Question::Time`].
    Time {
        /// Time by the clock of the instance, in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// Answers [`Question::FetchSegment`]; `None` if the version held is not newer.
    Segment(Option<segment::Segment>),
}

/// Datagram between entry instances, so that each knows the load that all of them put on the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A request was sent to a target.
    Sent(Dispatch),
    /// The prefill of a dispatched prompt has ended.
    Computed {
        /// Number of the dispatch.
        number: u64,
    },
    /// A dispatched prompt will not be prefilled.
    Withdrawn {
        /// Number of the dispatch.
        number: u64,
    },
    /// Connecting to a target failed; the next request of each receiver to it opens a new connection.
    Unreached {
        /// Name of the target.
        target: name::Target,
    },
    /// A target has the KV cache of these parts, from which other engines can copy it.
    Held {
        /// Name of the target.
        target: name::Target,
        /// The parts, in the order of the prompt.
        parts: Vec<Part>,
    },
    /// A target's process has said something of itself that all instances must observe.
    Condition {
        /// Name of the target.
        target: name::Target,
        /// Start of its process, in milliseconds since the Unix epoch.
        started_unix_ms: u64,
        /// Whether it leaves.
        leaving: bool,
        /// Requests that it takes from all instances together; `None` for any number.
        limit: Option<Rate>,
    },
    /// What the sender knows of prompt parts on which a service's engines have ended.
    Suspicions {
        /// The service.
        service: name::Service,
        /// At most [`MAX_SUSPICIONS`], so that several notices fit into a datagram.
        suspicions: Vec<Suspicion>,
    },
    /// What the sender knows of requests on which targets have ended; at most [`MAX_SUSPICIONS`]. Instances of earlier
    /// builds can't decode it, so it travels apart from other notices.
    Crashes(Vec<Crashes>),
    /// From which services' targets the sender is cut off. Travels apart from other notices, too.
    Reach(Reach),
    /// A request was sent to an engine, and maybe its prompt to another one first. Instances of earlier builds can't decode
    /// this and the following notices; see [`Notice::for_earlier_builds`].
    Placed(load::Placement),
    /// The prefill of a placed prompt has ended.
    Finished {
        /// Number of the placement.
        number: u64,
        /// Time since the prompt was sent, in microseconds.
        taken_us: u32,
    },
    /// A request was not sent where a keeper had chosen engines for it.
    Declined {
        /// Number of the inquiry.
        number: u64,
        /// Name of the engine that was to decode.
        target: name::Target,
    },
    /// Asks for the load of a cell's engines.
    Inquiry(load::Inquiry),
    /// Answers an inquiry.
    Loads(load::Loads),
}

/// Number of suspicions in one notice.
pub const MAX_SUSPICIONS: usize = 16;

/// Stands for the content of a request: all that is the same when a caller sends it again. Two requests with different
/// content don't have the same digest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

/// State of a request on which targets have ended; the one with more clearings is the later one, with as many the
/// processes and the trials of both hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The request.
    pub request: Digest,
    /// How often a success has cleared it.
    pub clearings: u32,
    /// Processes of targets that have ended under it since then, at most three, by a hash of their names and starts.
    pub processes: Vec<u64>,
    /// Trials since it was quarantined.
    pub trials: u32,
    /// Time since an instance first had this state, in milliseconds.
    pub age_ms: u64,
}

/// State of a prompt part on which engines have ended; of two states the one with more clearings, then the one with
/// more ends is the later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Id of the part.
    pub part: u64,
    /// How often an answer that succeeded has cleared it.
    pub clearings: u32,
    /// Ends of engines since then, each while a request with the part began that was sent after the end before.
    pub ends: u32,
    /// Time since an instance first had this state, in milliseconds.
    pub age_ms: u64,
}

/// A request that was sent to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Random number by which later notices refer to the dispatch; 0 if none will.
    pub number: u64,
    /// Name of the target.
    pub target: name::Target,
    /// Expected prefill time of the prompt, in microseconds.
    pub prompt_us: u32,
    /// Expected time until the first token that isn't prefill, in microseconds.
    pub overhead_us: u32,
    /// Output tokens expected; 0 if the target only prefills.
    pub output_tokens: u32,
    /// Parts of the prompt that the target prefills.
    pub parts: Vec<Part>,
}

/// A part of a prompt, the unit in which prefixes are cached and compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the content of the part.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}
