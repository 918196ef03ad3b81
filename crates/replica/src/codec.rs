//! Converts entries, snapshots and hard state between their types in `consensus` and in `store`.

use std::sync::Arc;

use consensus::{
    effect::HardState,
    entry::{Entry, Position, Snapshot},
    member::Config,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use store::entry as stored;

/// Content of a stored snapshot.
#[derive(Serialize, Deserialize)]
struct StoredSnapshot {
    config: Config,
    data: Vec<u8>,
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("invariant: every value of the log can be encoded")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

pub(crate) fn store_entry(entry: &Entry) -> stored::Entry {
    stored::Entry { position: store_position(entry.position), payload: encode(&entry.payload) }
}

pub(crate) fn load_entry(entry: &stored::Entry) -> Result<Entry, postcard::Error> {
    Ok(Entry { position: load_position(entry.position), payload: decode(&entry.payload)? })
}

pub(crate) fn store_snapshot(snapshot: &Snapshot) -> stored::Snapshot {
    let body = StoredSnapshot { config: snapshot.config.clone(), data: snapshot.data.to_vec() };
    stored::Snapshot { last: store_position(snapshot.last), data: encode(&body) }
}

pub(crate) fn load_snapshot(snapshot: &stored::Snapshot) -> Result<Snapshot, postcard::Error> {
    let body: StoredSnapshot = decode(&snapshot.data)?;
    let last = load_position(snapshot.last);
    Ok(Snapshot { last, config: body.config, data: Arc::new(body.data) })
}

pub(crate) fn load_hard_state(state: Option<&[u8]>) -> Result<Option<HardState>, postcard::Error> {
    state.map(decode).transpose()
}

fn store_position(position: Position) -> stored::Position {
    stored::Position { index: position.index, term: position.term }
}

fn load_position(position: stored::Position) -> Position {
    Position { index: position.index, term: position.term }
}
