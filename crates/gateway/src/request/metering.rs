//! Counts a request once a target has begun it.

use common::{clock::Moment, name};
use fleet::{config::Delivery, usage::Totals};
use platform::request::Caller;

use crate::{dispatch::Dispatch, request::Pending};

impl Pending {
    /// Counts the request, which a target began at a moment; only the first call for it has an effect.
    pub(crate) fn count_begun(&self, dispatch: &Dispatch, at: Moment) {
        let mut progress = self.progress();
        if std::mem::replace(&mut progress.metered, true) {
            return;
        }
        // A stream that goes on here was counted when it began, maybe at another instance.
        let goes_on = progress.began.is_some() || self.metadata.takes_stream_up();
        drop(progress);
        let organisation = self.organisation().filter(|_| !goes_on);
        let demand = Totals {
            requests: 1,
            prompt_tokens: dispatch.plan.uncached_tokens,
            // Those of streams are counted as they arrive.
            output_tokens: match self.route().delivery {
                Delivery::Stream { .. } => 0,
                Delivery::Whole => u64::from(self.metadata.output_tokens),
            },
        };
        self.gateway.meter.count(organisation, at, dispatch.service(), demand);
    }

    /// The organisation that the request belongs to; `None` if it has none.
    fn organisation(&self) -> Option<&name::Organisation> {
        match &self.permission.caller {
            Caller::Managed(organisation) => organisation.as_ref(),
            Caller::Unmanaged => None,
        }
    }
}
