//! Names of the parts of the system, a type for each kind so that they can't be confused.

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
    /// A branch of the declarations with a replicated log of its own: the venture or one partner.
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
    /// A target, which is an engine or a runner of a plain service; unique in the fleet.
    Target
}

name! {
    /// Version of the software that a target runs; empty if it isn't known.
    Software
}

name! {
    /// An organisation among a partner's callers.
    Organisation
}
