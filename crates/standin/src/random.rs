//! A small seeded generator of random numbers (SplitMix64, Steele et al. 2014).

/// A seeded sequence of random numbers.
#[derive(Clone, Copy, Debug)]
pub struct Random(u64);

impl Random {
    /// Makes the sequence of `seed`.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`, or 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
        usize::try_from(self.number() % bound).unwrap_or_default()
    }

    /// A number from 0 (included) to 1 (not included).
    pub fn unit(&mut self) -> f64 {
        const BITS: u32 = 53;
        #[allow(clippy::cast_precision_loss, reason = "53 bits fit a double exactly")]
        let fraction = (self.number() >> (u64::BITS - BITS)) as f64;
        fraction / (1_u64 << BITS) as f64
    }
}
