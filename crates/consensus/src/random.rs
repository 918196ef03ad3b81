//! A small deterministic generator (`SplitMix64`, Steele, Lea and Flood 2014) for election timeouts.

use std::time::Duration;

#[derive(Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A span from `min` to `max`.
    pub(crate) fn span(&mut self, min: Duration, max: Duration) -> Duration {
        let width = u64::try_from(max.saturating_sub(min).as_millis()).unwrap_or(u64::MAX);
        min + Duration::from_millis(self.next() % width.saturating_add(1))
    }
}
