//! Rendezvous hashing (Thaler and Ravishankar 1998): instances that know the same fleet agree which of them come first
//! for a key, and a change of the fleet moves few keys.

use common::{name, random};

/// Position of an instance for a key; the instance breaks ties.
pub fn rank<'a>(key: &str, instance: &'a name::Instance) -> (u64, &'a name::Instance) {
    let bytes = key.bytes().chain([0]).chain(instance.0.bytes());
    (bytes.fold(0, |hash, byte| random::mix(hash ^ u64::from(byte))), instance)
}

/// The first `count` instances for a key.
pub fn first<'a>(
    key: &str,
    instances: impl Iterator<Item = &'a name::Instance>,
    count: usize,
) -> Vec<name::Instance> {
    let mut ranked: Vec<&name::Instance> = instances.collect();
    ranked.sort_unstable_by_key(|instance| rank(key, instance));
    ranked.into_iter().take(count).cloned().collect()
}
