//! Capacity of a mix of roles, in a fluid approximation: work is divisible and nothing queues.
//!
//! Work is measured in engines: tokens per second divided by the rate of one dedicated engine. A mixed engine divides
//! its time between prefill and decode and loses a part of it, since prefill delays decode steps.

use common::role::Role;

/// Throughput of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prompt tokens per second of a prefill engine.
    pub prefill: f64,
    /// Output tokens per second of a decode engine.
    pub decode: f64,
    /// Share of a mixed engine's time that is useful, 0 to 1.
    pub mixed: f64,
}

/// Number of engines by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mix {
    /// Engines that prefill only.
    pub prefill: u32,
    /// Engines that decode only.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

/// Offered work, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Number of prefill engines that it keeps busy.
    pub prefill: f64,
    /// Number of decode engines that it keeps busy.
    pub decode: f64,
}

/// Unused capacity, in engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    prefill: f64,
    decode: f64,
    total: f64,
}

impl Mix {
    /// Adds `count` engines of a role.
    pub fn add(&mut self, role: Role, count: u32) {
        *self.count_mut(role) += count;
    }

    /// The mix without one engine of a role; `None` if it has none.
    pub fn without(mut self, role: Role) -> Option<Mix> {
        let count = self.count_mut(role);
        *count = count.checked_sub(1)?;
        Some(self)
    }

    /// The mix after one engine changes from one role to another; `None` if it has none of the first.
    pub fn moved(self, from: Role, to: Role) -> Option<Mix> {
        let mut mix = self.without(from)?;
        mix.add(to, 1);
        Some(mix)
    }

    /// Number of engines with a role.
    pub fn count(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Number of engines that can prefill.
    pub fn can_prefill(&self) -> u32 {
        self.prefill + self.mixed
    }

    /// Number of engines that can decode.
    pub fn can_decode(&self) -> u32 {
        self.decode + self.mixed
    }

    /// Number of all engines.
    pub fn total(&self) -> u32 {
        self.prefill + self.decode + self.mixed
    }

    /// Capacity of the mix when it is idle.
    pub fn headroom(&self, rates: Rates) -> Headroom {
        let mixed = f64::from(self.mixed) * rates.mixed;
        Headroom {
            prefill: f64::from(self.prefill) + mixed,
            decode: f64::from(self.decode) + mixed,
            total: f64::from(self.prefill) + f64::from(self.decode) + mixed,
        }
    }

    fn count_mut(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}

impl Work {
    /// The work of `prefill_tokens` and `decode_tokens` per second.
    pub fn new(prefill_tokens: f64, decode_tokens: f64, rates: Rates) -> Work {
        Work { prefill: prefill_tokens / rates.prefill, decode: decode_tokens / rates.decode }
    }

    /// The work multiplied by a share.
    pub fn scaled(self, share: f64) -> Work {
        Work { prefill: self.prefill * share, decode: self.decode * share }
    }
}

impl Headroom {
    /// The largest share of `work` that can be served, 0 to 1.
    ///
    /// A request counts only if both its prefill and its decode are served, so the share is the same for both.
    pub fn served_share(&self, work: Work) -> f64 {
        let total = work.prefill + work.decode;
        let ratio =
            |headroom: f64, work: f64| if work > 0.0 { headroom / work } else { f64::INFINITY };
        ratio(self.prefill, work.prefill)
            .min(ratio(self.decode, work.decode))
            .min(ratio(self.total, total))
            .clamp(0.0, 1.0)
    }

    /// The capacity that is left when `work` is served.
    pub fn minus(self, work: Work) -> Headroom {
        Headroom {
            prefill: (self.prefill - work.prefill).max(0.0),
            decode: (self.decode - work.decode).max(0.0),
            total: (self.total - work.prefill - work.decode).max(0.0),
        }
    }
}
