//! Who makes a request, and whether it may still run.

use placement::precedence::Claimant;
use platform::request::Caller;

use crate::{error::Error, request::Pending};

impl Pending {
    /// Checks whether the caller may still have the request run.
    pub(crate) fn check_permission(&self) -> Result<(), Error> {
        let config = self.gateway.config().ok_or(Error::NoConfig)?;
        self.gateway.keys.check_again(&config, &self.permission)
    }

    /// Whose request it is, and how urgent, for those that compete with it.
    pub(crate) fn claimant(&self) -> Claimant<'_> {
        let organisation = match &self.permission.caller {
            Caller::Managed(organisation) => organisation.as_ref(),
            Caller::Unmanaged => None,
        };
        Claimant { priority: self.priority(), organisation }
    }
}
