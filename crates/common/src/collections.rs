//! Hash maps and sets with a fast hasher.
//!
//! The hasher doesn't resist crafted keys that collide, so bound the size of any map whose keys callers choose.

/// A hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;
