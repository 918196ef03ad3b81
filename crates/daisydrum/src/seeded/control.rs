//! The control component: receives targets' announcements and operators' configurations over HTTP and keeps a replica
//! of the configuration.

use std::{sync::Arc, time::Duration};

use common::{clock::Moment, name};
use consensus::status::Role;
use fleet::{
    departure::Departure,
    register::Document,
    registry::{Merge, State, Target},
};
use hyper::{Request, StatusCode, body::Incoming};
use platform::{
    announcement,
    endpoint::{self, Endpoint},
};
use replica::host::Handle;
use slog::{info, warn};
use telemetry::metric;
use tokio::{runtime, sync::Semaphore, time};

use crate::{
    error::Error,
    seeded::{
        authority::Authority,
        context::Context,
        currency,
        departures::Departures,
        directory::{self, Contact, Directory},
        entry::{bind, spawn},
        ledger::Ledger,
        listener::{self, Handler, HttpResponse, json, read_body, text},
        occupant::Occupants,
        orders, platform_api,
        replicas::Replicas,
        saved_targets,
        scaling::Planner,
        standings::Standings,
        usage,
    },
};

/// Largest configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 8 * 1024 * 1024;
/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Configurations that are read from the log at a time.
const MAX_READERS: usize = 2;
/// Size of the configurations that are offered to the log at a time, in KiB: each is held several times meanwhile.
const MAX_OFFERED_KIB: usize = 16 * 1024;
/// Number of announcement intervals without an announcement after which a target is lost; a single announcement may be
/// seconds late.
const LOST_AFTER_ANNOUNCEMENTS: u32 = 10;
/// Time between two checks for lost targets.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait until all instances know that a target leaves, before its call is answered; targets wait a second for
/// the response.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(600);

/// The running component.
#[derive(Clone)]
pub(crate) struct Control {
    context: Context,
    directory: Directory,
    pub(crate) replicas: Replicas,
    pub(crate) ledger: Ledger,
    pub(crate) departures: Departures,
    pub(crate) standings: Standings,
    /// Keeps usage where the platform's API is set.
    pub(crate) usage: Option<usage::keeper::Keeper>,
    occupants: Occupants,
    /// Places for operators that read the configuration.
    readers: Arc<Semaphore>,
    /// Room for configurations that are offered to the log, in KiB.
    offered: Arc<Semaphore>,
    metrics: metric::Renderer,
}

/// Starts the component if the settings name an address for it.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the address can't be listened on.
pub(crate) async fn start(
    context: &Context,
    directory: &Directory,
    runtime: &runtime::Handle,
) -> Result<Option<Control>, Error> {
    let Some(address) = context.settings.control else {
        return Ok(None);
    };
    let listener = bind(address, "targets and operators").await?;
    let control = Control {
        context: context.clone(),
        directory: directory.clone(),
        replicas: Replicas::start(context, directory, runtime),
        ledger: Ledger::start(context, directory),
        departures: Departures::start(context, directory),
        standings: Standings::start(context, directory),
        usage: usage::keeper::Keeper::start(context, directory),
        occupants: Occupants::default(),
        readers: Arc::new(Semaphore::new(MAX_READERS)),
        offered: Arc::new(Semaphore::new(MAX_OFFERED_KIB)),
        metrics: metric::install(),
    };
    saved_targets::start(context, directory, control.departures.saved_members());
    listener::serve(context, "control", listener, control.clone());
    spawn(context, control.clone().expire());
    spawn(context, directory.clone().follow_patches());
    let replicas = control.replicas.clone();
    spawn(context, currency::run(context.clone(), directory.clone(), replicas));
    let authority = Authority::new(context, directory, &control.replicas);
    spawn(context, orders::Coordinator::new(context, directory, &authority).run());
    let client = platform_api::Client::new(context, &authority);
    if let (Some(keeper), Some(client)) = (&control.usage, &client) {
        usage::holder::start(context, directory, &control.replicas, keeper, client);
        spawn(context, Planner::new(context, directory, &control.replicas, keeper, client).run());
    }
    Ok(Some(control))
}

impl Handler for Control {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path();
        if path == listener::METRICS_PATH {
            return text(StatusCode::OK, self.metrics.render());
        }
        match endpoint::decode(request.method(), path) {
            Some(Endpoint::Announce(target)) => self.announce(target, request).await,
            Some(Endpoint::Leave(target)) => self.leave(&target).await,
            Some(Endpoint::DeclareConfig) => self.declare(request).await,
            Some(Endpoint::ReadConfig) => self.read().await,
            Some(Endpoint::Readiness) => text(StatusCode::OK, "ready\n"),
            None => text(StatusCode::NOT_FOUND, "unknown call\n"),
        }
    }
}

impl Control {
    async fn announce(&self, name: name::Target, request: Request<Incoming>) -> HttpResponse {
        let read = read_body(request, MAX_ANNOUNCEMENT_BYTES, &self.context.memory).await;
        let (body, _held) = match read {
            Ok(read) => read,
            Err(response) => return response,
        };
        let target = match announcement::decode(name, &body) {
            Ok(target) => target,
            Err(error) => {
                info!(self.context.log, "announcement_refused"; "fault" => %error);
                return text(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        if let Some(holder) = self.holder_of_address(&target).await {
            info!(self.context.log, "address_taken"; "target" => %target.name,
                "address" => %target.address, "held_by" => %holder);
            let refusal = format!("address: {holder} answers at {}\n", target.address);
            return text(StatusCode::CONFLICT, refusal);
        }
        self.ledger.save_versions(std::slice::from_ref(&target)).await;
        let is_draining = target.state == State::Draining;
        let line = format!("{} {:?} {:?}", target.name, target.state, target.stage);
        let name = target.name.clone();
        let merge = self.directory.announce(target, Moment::now());
        if merge == Merge::Changed {
            info!(self.context.log, "target_changed"; "target" => line);
        }
        match self.directory.departure(&name).filter(|_| is_draining) {
            Some(departure) => self.settle(departure, merge).await,
            None => json(announcement::ACCEPTED_BODY),
        }
    }

    /// The target that answers at the address of another one that announces itself, if the announcement would replace it. One
    /// that was replaced and answers there gets its address back.
    async fn holder_of_address(&self, target: &Target) -> Option<name::Target> {
        let source = self.context.settings.targets_source;
        if let Some(path) = self.directory.health_path_if_replaced(target)
            && self.occupants.is_there(target, &path, source).await
        {
            info!(self.context.log, "address_restored"; "target" => %target.name,
                "address" => %target.address);
            self.directory.expire_later_at_address(target);
            return None;
        }
        let (predecessor, path) = self.directory.predecessor(target)?;
        let is_there = self.occupants.is_there(&predecessor, &path, source).await;
        is_there.then_some(predecessor.name)
    }

    async fn leave(&self, target: &name::Target) -> HttpResponse {
        let merge = self.directory.leave(target, Moment::now());
        if merge == Merge::Changed {
            info!(self.context.log, "target_left"; "target" => %target);
        }
        let Some(departure) = self.directory.departure(target) else {
            info!(self.context.log, "departure_of_unknown_target"; "target" => %target);
            return text(StatusCode::SERVICE_UNAVAILABLE, "the target is not known here\n");
        };
        self.settle(departure, merge).await
    }

    /// Answers a target that leaves once all instances know that, as far as they are reached, and a majority of the control
    /// instances has saved it; if that fails the target is to call another one.
    async fn settle(&self, departure: Departure, merge: Merge) -> HttpResponse {
        let stage = departure.stage();
        let delivered = async {
            if merge == Merge::Changed {
                self.directory.wait_for_delivery(self.directory.revision(), DELIVERY_TIMEOUT).await;
            }
        };
        let ((), is_settled) = tokio::join!(delivered, self.departures.settle(departure));
        if is_settled {
            json(announcement::ACCEPTED_BODY)
        } else {
            warn!(self.context.log, "departure_not_settled"; "stage" => ?stage);
            text(StatusCode::SERVICE_UNAVAILABLE, "too few control instances have saved it\n")
        }
    }

    async fn declare(&self, request: Request<Incoming>) -> HttpResponse {
        let read = read_body(request, MAX_CONFIG_BYTES, &self.context.memory).await;
        let (body, _held) = match read {
            Ok(read) => read,
            Err(response) => return response,
        };
        let kib = u32::try_from(body.len().div_ceil(1024)).unwrap_or(u32::MAX);
        let Ok(_room) = self.offered.acquire_many(kib).await else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the instance stops\n");
        };
        let version = match directory::config::decode(body.clone()).await {
            Ok(config) => config.version,
            Err(error) => {
                info!(self.context.log, "config_refused"; "fault" => %error);
                return text(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        if self.directory.version() >= version {
            info!(self.context.log, "config_held"; "version" => version,
                "held" => self.directory.version());
            return text(StatusCode::OK, "held already\n");
        }
        let document = Document { version, bytes: body.into() };
        match self.replicas.offer(document).await {
            Ok(held) => {
                info!(self.context.log, "config_accepted"; "version" => version, "held" => held);
                text(StatusCode::OK, "accepted\n")
            }
            Err(failure) => {
                warn!(self.context.log, "config_not_accepted"; "version" => version,
                    "failure" => %failure);
                text(StatusCode::SERVICE_UNAVAILABLE, format!("{failure}\n"))
            }
        }
    }

    async fn read(&self) -> HttpResponse {
        // The response counts from its end on; until then there are several copies.
        let Ok(_place) = self.readers.acquire().await else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the instance stops\n");
        };
        match self.replicas.read().await {
            Ok(Some(document)) => json(document.bytes),
            Ok(None) => text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
            Err(failure) => {
                warn!(self.context.log, "config_not_read"; "failure" => %failure);
                text(StatusCode::SERVICE_UNAVAILABLE, format!("{failure}\n"))
            }
        }
    }

    /// Publishes metrics of the configuration's version and of this instance's replica.
    fn publish_metrics(&self) {
        metrics::gauge!("daisydrum_config_version").set(self.directory.version() as f64);
        if let Some(status) = self.replicas.handle().and_then(Handle::status) {
            let leads = f64::from(u8::from(status.role == Role::Leader));
            metrics::gauge!("daisydrum_log_leads").set(leads);
            metrics::gauge!("daisydrum_log_committed_entries").set(status.commit as f64);
        }
        metrics::gauge!("daisydrum_memory_held_bytes").set(self.context.memory.used() as f64);
    }

    /// Marks targets without announcements as lost, but not while this instance has no contact with the leader: then it
    /// may be the one that is partitioned, and all targets count as seen now.
    async fn expire(self) {
        let interval = Duration::from_millis(self.context.settings.announcement_ms);
        let silence = interval * LOST_AFTER_ANNOUNCEMENTS;
        loop {
            time::sleep(EXPIRE_INTERVAL).await;
            self.publish_metrics();
            let now = Moment::now();
            for service in self.directory.refresh_versions(now) {
                info!(self.context.log, "version_absent"; "service" => %service);
                self.ledger.save_absences(service);
            }
            if self.directory.contact() == Contact::Lost {
                self.directory.mark_all_seen(now);
                continue;
            }
            for target in self.directory.expire(silence, now) {
                info!(self.context.log, "target_lost"; "target" => %target);
            }
        }
    }
}
