//! Waits for targets of the software version at which alone a stream may go on; see [`placement::deferral`].

use std::sync::Arc;

use common::clock::Moment;
use placement::deferral::{self, Scope, Wait};
use slog::info;
use tokio::time;

use crate::{error::Error, stream::Driver};

impl Driver {
    /// Starts a run; a stream that may go on at one software version only waits for a target of it.
    pub(super) async fn start_or_wait(&mut self) -> Result<(), Error> {
        let mut started = self.try_start().await;
        if !self.is_deferred(&started) {
            return started;
        }
        let gateway = Arc::clone(&self.request.gateway);
        let Ok(_place) = gateway.waiting_streams.try_acquire() else {
            return started;
        };
        metrics::counter!("daisydrum_streams_deferred_total").increment(1);
        info!(gateway.log, "stream_deferred"; "id" => &self.request.metadata.id,
            "last_event" => ?self.last_event_id);
        let remaining = self.request.remaining();
        let mut wait = *self.wait.get_or_insert_with(|| Wait::new(remaining, Moment::now()));
        while self.is_deferred(&started)
            && let Some(pause) = wait.next_pause(Moment::now())
        {
            time::sleep(pause).await;
            self.stop_avoiding_available();
            started = self.try_start().await;
        }
        self.wait = Some(wait);
        started
    }

    async fn try_start(&mut self) -> Result<(), Error> {
        self.ensure_beginning().await?;
        self.request.consult().await;
        self.start_run()
    }

    /// Whether the request waits instead of failing, as no other run of it may still bring something.
    fn is_deferred(&self, started: &Result<(), Error>) -> bool {
        match started {
            Err(Error::Refused(refusal)) => {
                self.race.live() == 0
                    && self.request.may_be_placed_later()
                    && deferral::is_deferred(refusal.reason, self.scope())
            }
            _ => false,
        }
    }

    /// Lets the request go again to targets that failed it and are available: one may be back under its name.
    fn stop_avoiding_available(&self) {
        let mut progress = self.request.progress();
        let (balancer, now) = (self.request.gateway.balancer(), Moment::now());
        progress.avoid.retain(|key| !balancer.is_available(*key, now));
    }

    fn scope(&self) -> Scope {
        let request = &self.request;
        let Some(began) = request.progress().began.clone() else {
            return Scope::Service;
        };
        let service = began.service.as_ref().or(request.sole_service());
        let settled = service.and_then(|service| request.gateway.origins.settled_version(service));
        if settled.is_some() { Scope::Service } else { Scope::Version }
    }
}
