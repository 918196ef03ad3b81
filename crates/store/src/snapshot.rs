//! Snapshot files. They are replaced atomically: written under a temporary name, synced and renamed.

use crate::{
    entry::{Position, Snapshot},
    error::{Corruption, Error},
    folder::{File, Folder},
};

const PREFIX: &str = "snapshot-";
const TEMPORARY: &str = "temporary-snapshot";
/// Index, term and CRC-32.
const HEADER_BYTES: usize = 20;

/// Writes a snapshot durably, then removes older ones.
pub(crate) fn save(folder: &impl Folder, snapshot: &Snapshot) -> Result<(), Error> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + snapshot.data.len());
    bytes.extend_from_slice(&snapshot.last.index.to_le_bytes());
    bytes.extend_from_slice(&snapshot.last.term.to_le_bytes());
    bytes.extend_from_slice(&checksum(&bytes, &snapshot.data).to_le_bytes());
    bytes.extend_from_slice(&snapshot.data);
    let mut file = folder.open(TEMPORARY)?;
    file.truncate(0)?;
    file.write_at(0, &bytes)?;
    file.sync()?;
    folder.rename(TEMPORARY, &file_name(snapshot.last.index))?;
    folder.sync()?;
    let kept = snapshot.last.index;
    for index in indexes(&folder.list()?).into_iter().filter(|index| *index < kept) {
        folder.remove(&file_name(index))?;
    }
    Ok(())
}

/// Reads the newest snapshot. Fails if it is corrupt, since the entries that it includes may be gone.
pub(crate) fn load(folder: &impl Folder) -> Result<Option<Snapshot>, Error> {
    let Some(index) = indexes(&folder.list()?).pop() else {
        return Ok(None);
    };
    let file = file_name(index);
    let bytes = folder.read(&file)?;
    let snapshot = decode(&bytes).filter(|snapshot| snapshot.last.index == index);
    snapshot.map(Some).ok_or(Error::Corrupt { file, offset: 0, corruption: Corruption::Checksum })
}

fn decode(bytes: &[u8]) -> Option<Snapshot> {
    let (header, data) = bytes.split_at_checked(HEADER_BYTES)?;
    let index = u64::from_le_bytes(header[..8].try_into().ok()?);
    let term = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let sum = u32::from_le_bytes(header[16..].try_into().ok()?);
    let whole = checksum(&header[..16], data) == sum;
    whole.then(|| Snapshot { last: Position { index, term }, data: data.to_vec() })
}

fn checksum(header: &[u8], data: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(data);
    hasher.finalize()
}

/// Name of a snapshot's file.
pub(crate) fn file_name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}

fn indexes(names: &[String]) -> Vec<u64> {
    let mut indexes: Vec<u64> =
        names.iter().filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok()).collect();
    indexes.sort_unstable();
    indexes
}
