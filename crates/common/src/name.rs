//! Names of the parts of the system, kept apart by type.

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Display, From, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[from(String, &str)]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(pub String);
    };
}

name! {
    /// A branch of the tree with a replicated log of its own: the venture or one partner.
    Branch
}

name! {
    /// A partner of the venture; its users are callers.
    Partner
}

name! {
    /// A data centre.
    DataCentre
}

name! {
    /// A service of a partner, unique within the partner.
    Service
}

name! {
    /// An instance of the daemon.
    Instance
}

name! {
    /// A target: an engine or a plain service's runner, unique in the fleet.
    Target
}

name! {
    /// An organisation among a partner's callers.
    Organisation
}
