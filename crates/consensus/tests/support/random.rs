//! A deterministic generator for schedules.

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound.max(1)
    }

    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }
}
