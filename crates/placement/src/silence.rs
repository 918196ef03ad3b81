//! Instances that have not answered lately, which are asked after the others.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};

/// Time for which an instance that has not answered is passed over, doubled each further time.
const MIN_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// Number of instances above which those whose pause is over are forgotten.
const MAX_KEPT: usize = 256;

/// Instances that have not answered since they last did.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    silences: Map<name::Instance, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    until: Moment,
    pause: Duration,
}

impl Silences {
    /// The instances that may be asked, in this order.
    pub fn order(&self, instances: &[name::Instance], now: Moment) -> Vec<name::Instance> {
        let is_silent = |instance: &&name::Instance| {
            self.silences.get(*instance).is_some_and(|silence| now < silence.until)
        };
        instances.iter().filter(|instance| !is_silent(instance)).cloned().collect()
    }

    /// Records that an instance has answered.
    pub fn record_answer(&mut self, instance: &name::Instance) {
        self.silences.remove(instance);
    }

    /// Records that an instance has not answered in time.
    pub fn record_silence(&mut self, instance: &name::Instance, now: Moment) {
        if self.silences.len() >= MAX_KEPT {
            self.silences.retain(|_, silence| now < silence.until);
        }
        let before = self.silences.get(instance).map(|silence| silence.pause);
        let pause = before.map_or(MIN_PAUSE, |pause| (pause * 2).min(MAX_PAUSE));
        self.silences.insert(instance.clone(), Silence { until: now + pause, pause });
    }
}
