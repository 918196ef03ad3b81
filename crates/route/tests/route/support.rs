//! Helpers that set up a router with services and targets, and send requests to it.

use std::time::Duration;

use common::{clock::Moment, name, role::Role};
use route::{
    request::{Action, Dispatch, Event, Origin, Refusal, Request, Retry, Ticket},
    router::{Owner, Router, Setup},
};
use settings::service::{self, Priority};
use wire::target::{self, Announcement, Load, Phase};

pub const START: Moment = Moment(100_000);

pub fn after(milliseconds: u64) -> Moment {
    START + Duration::from_millis(milliseconds)
}

pub fn router(partners: &[&str]) -> Router {
    let mut router = Router::new(Setup::default());
    for partner in partners {
        router.configure(&owner(partner, "llm"), settings(partners));
    }
    router
}

pub fn owner(partner: &str, service: &str) -> Owner {
    Owner { partner: name::Partner::from(partner), service: name::Service::from(service) }
}

pub fn settings(lend_to: &[&str]) -> service::Service {
    crate::policy::settings(lend_to)
}

pub fn announcement(name: &str, partner: &str, slots: u32) -> Announcement {
    Announcement {
        target: name::Target::from(name),
        incarnation: 1,
        sequence: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        kind: target::Kind::Engine,
        partner: name::Partner::from(partner),
        service: name::Service::from("llm"),
        data_centre: name::DataCentre::from("suva"),
        models: vec![String::from("m")],
        role: Role::Mixed,
        fencing: target::Fencing::Checked,
        cache_pieces: 0,
        slots,
        lease_ms: 10_000,
        phase: Phase::Ready,
        load: Load::default(),
        cache_events: Vec::new(),
    }
}

pub fn request(partner: &str) -> Request {
    Request {
        partner: name::Partner::from(partner),
        service: name::Service::from("llm"),
        organisation: 1,
        model: Some(String::from("m")),
        priority: Priority::Standard,
        prompt_tokens: 100,
        output_tokens: 100,
        pieces: Vec::new(),
        deadline: START + Duration::from_mins(2),
        retry: Retry::Allowed,
        origin: Origin::Caller,
    }
}

pub fn drain(router: &mut Router) -> Vec<Action> {
    std::iter::from_fn(|| router.next_action()).collect()
}

pub fn dispatches(router: &mut Router) -> Vec<Dispatch> {
    let actions = drain(router).into_iter();
    actions
        .filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

/// Submits a request and returns its dispatch; the request must be dispatched at once.
pub fn send(router: &mut Router, request: Request, now: Moment) -> Dispatch {
    router.submit(request, now).unwrap();
    dispatches(router).pop().unwrap()
}

/// Sends `count` requests of a partner, each of which occupies a slot.
pub fn fill(router: &mut Router, partner: &str, count: usize, now: Moment) -> Vec<Dispatch> {
    (0..count).map(|_| send(router, request(partner), now)).collect()
}

pub fn finish(router: &mut Router, dispatch: &Dispatch, now: Moment) {
    router.report(dispatch.ticket, dispatch.attempt, Event::Finished, now);
}

pub fn refusals(actions: Vec<Action>) -> Vec<(Ticket, Refusal)> {
    let refused = actions.into_iter().filter_map(|action| match action {
        Action::Refuse { ticket, refusal } => Some((ticket, refusal)),
        _ => None,
    });
    refused.collect()
}
