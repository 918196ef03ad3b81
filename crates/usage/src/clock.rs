//! True time, from the clocks of several control instances and a clock of this machine that never jumps.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};

/// A reading of a control instance's clock that took longer than this says too little, unless there is none yet.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(500);

/// Difference between two clocks that nobody has set wrongly, in milliseconds.
const MAX_SOUND_DIFFERENCE_MS: u64 = 1_000;

/// True time. It is the median of the control instances' clocks as they were read last, so that a jump of a minority of
/// them, or of this machine's own, has no effect.
///
/// Readings of instances that can't be reached any more stay valid: the clock of this machine that is added to them
/// counts on, whatever is done to the time of day.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    /// Difference of each control instance's clock from this machine's, in milliseconds.
    offsets: Map<name::Instance, i64>,
    /// The same of this machine's time of day, until a control instance's is known.
    own_offset: i64,
}

impl Clock {
    /// Creates a clock that follows this machine's time of day, as read at `now`, until a reading arrives.
    pub fn new(now: Moment, unix_ms: u64) -> Clock {
        Clock { offsets: Map::default(), own_offset: offset(now, unix_ms) }
    }

    /// Records a reading of a control instance's clock that was asked for at `asked` and arrived at `now`.
    pub fn record(&mut self, instance: &name::Instance, unix_ms: u64, asked: Moment, now: Moment) {
        let round_trip = now.since(asked);
        if round_trip > MAX_ROUND_TRIP && self.offsets.contains_key(instance) {
            return;
        }
        self.offsets.insert(instance.clone(), offset(asked + round_trip / 2, unix_ms));
    }

    /// Drops the readings of instances that are no control instances any more, unless they are the only ones.
    pub fn retain(&mut self, is_control: impl Fn(&name::Instance) -> bool) {
        if self.offsets.keys().any(&is_control) {
            self.offsets.retain(|instance, _| is_control(instance));
        }
    }

    /// Number of control instances whose clock is known.
    pub fn readings(&self) -> usize {
        self.offsets.len()
    }

    /// True time at `now`, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self, now: Moment) -> u64 {
        now.0.saturating_add_signed(self.offset())
    }

    /// The median; of an even number the mean of the two in the middle if they are close, else the one closer to this
    /// machine's time of day at the start.
    fn offset(&self) -> i64 {
        let mut offsets: Vec<i64> = self.offsets.values().copied().collect();
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        match offsets[..] {
            [] => self.own_offset,
            _ if offsets.len() % 2 == 1 => offsets[middle],
            _ => {
                let (lower, upper) = (offsets[middle - 1], offsets[middle]);
                if lower.abs_diff(upper) <= MAX_SOUND_DIFFERENCE_MS {
                    return i64::midpoint(lower, upper);
                }
                let is_lower_closer =
                    self.own_offset.abs_diff(lower) <= self.own_offset.abs_diff(upper);
                if is_lower_closer { lower } else { upper }
            }
        }
    }
}

fn offset(now: Moment, unix_ms: u64) -> i64 {
    let difference = i128::from(unix_ms) - i128::from(now.0);
    i64::try_from(difference).unwrap_or_default()
}
