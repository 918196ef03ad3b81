//! A small seeded pseudo-random number generator (SplitMix64; Steele, Lea and Flood 2014).

const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const FRACTION_BITS: u32 = 53;

/// A pseudo-random number generator; not for secrets.
#[derive(Clone, Copy, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator; equal seeds give equal sequences.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        mix(self.0)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
        usize::try_from(self.next_u64() % bound).unwrap_or_default()
    }

    /// Returns a number from 0 (included) to 1 (excluded).
    #[allow(clippy::cast_precision_loss, reason = "53 bits fit a double exactly")]
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
    }
}

/// Mixes the bits of `value`, so that similar values give unrelated results (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let mut mixed = value;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
