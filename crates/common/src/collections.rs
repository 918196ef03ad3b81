//! Hash maps and sets with a fast hasher.
//!
//! The hasher does not resist crafted keys, so bound the size of any map whose keys callers choose.

/// A hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;
