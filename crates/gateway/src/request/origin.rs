//! Whether and for how long it is recorded where the stream of a request began; see [`placement::continuity`].

use std::time::Duration;

use common::name;
use fleet::{config::Retry, exchange};
use placement::continuity::lifetime;

use crate::{progress::Beginning, recording::Recording, request::Pending};

impl Pending {
    /// Whether the origin of the stream is recorded: it may be taken up, and either for a long time, or its service has had
    /// several software versions lately. One that is taken up is recorded, as its caller may state the time of one attempt only.
    pub(crate) fn needs_record(&self) -> bool {
        self.route().retry == Retry::Resume
            && (self.metadata.takes_stream_up()
                || self.is_long_lived()
                || self.settled_version().is_none())
    }

    /// Whether the stream may be taken up for longer than one that need not be recorded.
    pub(crate) fn is_long_lived(&self) -> bool {
        self.lifetime() > lifetime::UNRECORDED
    }

    /// Time from the arrival of the request in which its caller may come back to the stream.
    fn lifetime(&self) -> Duration {
        lifetime::stream(self.metadata.timeout, self.route().timeout)
    }

    /// The software version that all targets that may serve the request have had lately, if it is one.
    fn settled_version(&self) -> Option<name::Software> {
        self.gateway.origins.settled_version(self.sole_service()?)
    }

    /// Has other instances record where the stream begins if its run number `run` brings the first event.
    pub(crate) fn record_origin(
        &self,
        beginning: &Beginning,
        service: &name::Service,
        run: u32,
    ) -> Recording {
        let stream = self.metadata.resumes.as_ref().unwrap_or(&self.metadata.id);
        let (service, software) = (service.clone(), beginning.software.clone());
        let until = self.arrived + self.lifetime().max(lifetime::LEAST_RECORDED) + lifetime::MARGIN;
        self.gateway.origins.record(stream, exchange::Origin { service, software, run }, until)
    }
}
