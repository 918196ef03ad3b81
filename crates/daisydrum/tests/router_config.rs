//! The services that the router's thread knows.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{cancel, clock::Moment, name};
use daisydrum::component::router_config;
use entry::{directory::Directory, router};
use route::{
    request::{Origin, Reason, Request, Retry},
    router::Setup,
};
use settings::{service::Priority, tree};
use tokio::{runtime, sync::watch};

fn directory() -> Directory {
    let model = serde_json::json!({ "kind": "model", "models": [{ "name": "vent-7b" }] });
    let service = Arc::new(model.as_object().unwrap().clone());
    let services = BTreeMap::from([(name::Service::from("vent-llm"), service)]);
    let branch = tree::Branch { services, ..tree::Branch::default() };
    let partners = BTreeMap::from([(name::Partner::from("association"), branch)]);
    Directory::new(&tree::Tree { partners, ..tree::Tree::default() }).unwrap()
}

fn request() -> Request {
    Request {
        partner: name::Partner::from("association"),
        service: name::Service::from("vent-llm"),
        organisation: 1,
        model: Some(String::from("vent-7b")),
        priority: Priority::Standard,
        prompt_tokens: 10,
        output_tokens: 10,
        pieces: Vec::new(),
        deadline: Moment::now() + Duration::from_secs(10),
        retry: Retry::Allowed,
        origin: Origin::Caller,
    }
}

#[test]
fn a_service_is_known_before_the_task_that_follows_the_settings_runs() {
    let end = cancel::Token::new();
    let (router, thread) = router::start(Setup::default(), end.clone()).unwrap();
    let (_in_force, received) = watch::channel(Arc::new(directory()));
    let _never_polled = router_config::follow(received, router.clone(), end.clone());
    let runtime = runtime::Builder::new_current_thread().build().unwrap();
    let refusal = runtime.block_on(router.submit(request())).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoTarget, "no target is announced; the service is known");
    end.cancel();
    thread.join().unwrap();
}
