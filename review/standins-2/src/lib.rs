//! Stand-ins and helpers for the cases of the second review: processes of the daemon on loopback addresses, an HTTP
//! client, an operator and runners as the operators' pages describe them. Only the standard library is used.

pub mod fleet;
pub mod http;
pub mod operator;
pub mod record;
pub mod runner;

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the disruption of the case takes place (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small pseudo-random generator (xorshift), seeded by the environment variable `SEED` or the time.
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    /// Seeds the generator; returns it and the seed.
    pub fn new() -> (Random, u64) {
        let given = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
        let seed: u64 = given.unwrap_or_else(unix_ms);
        (Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1), seed)
    }

    /// A number from `low` to `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        low + (self.0 >> 16) % (high - low + 1)
    }
}

/// How a case ended, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Outcome {
    /// The exit code of the script.
    pub fn code(self) -> i32 {
        match self {
            Outcome::Held => 0,
            Outcome::Broken => 1,
            Outcome::NotRun => 2,
        }
    }
}
