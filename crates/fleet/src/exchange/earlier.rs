//! What instances of earlier builds understand.

use crate::exchange::Notice;

impl Notice {
    /// Whether instances of earlier builds can't decode it.
    pub fn is_recent(&self) -> bool {
        match self {
            Notice::Crashes(_)
            | Notice::Reach(_)
            | Notice::Placed(_)
            | Notice::Finished { .. }
            | Notice::Declined { .. }
            | Notice::Inquiry(_)
            | Notice::Loads(_) => true,
            Notice::Sent(_)
            | Notice::Computed { .. }
            | Notice::Withdrawn { .. }
            | Notice::Unreached { .. }
            | Notice::Held { .. }
            | Notice::Condition { .. }
            | Notice::Suspicions { .. } => false,
        }
    }

    /// The same for instances of builds that don't know of placements.
    pub fn for_earlier_builds(&self) -> Vec<Notice> {
        match self {
            Notice::Placed(placement) => placement.dispatches().map(Notice::Sent).collect(),
            Notice::Finished { number, .. } => vec![Notice::Computed { number: *number }],
            Notice::Declined { .. } | Notice::Inquiry(_) | Notice::Loads(_) => Vec::new(),
            other => vec![other.clone()],
        }
    }
}
