//! Plans the number of targets of the services whose configuration allows it, and orders it from the platform.
//!
//! Only the holder of the duties does so. It plans from what targets have announced. The first holder records the capacity
//! of each service in the register before it sends orders.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use fleet::{
    capacity::{Capacity, Limits},
    config::{Config, Scale},
    registry::{State as TargetState, Target},
};
use hyper::StatusCode;
use platform::duty::{self, Call};
use scaling::{
    input::{Centre, Count, Demand, Rates, Service},
    order::{Kind, Order, Outcome},
    plan,
    state::State,
};
use slog::info;
use tokio::time;

use crate::seeded::{
    context::Context,
    directory::Directory,
    platform_api::{self, Client},
    replicas::Replicas,
    usage::keeper::Keeper,
};

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Length of the pause between two plans from which the process counts as frozen meanwhile.
const FROZEN_TIME: Duration = Duration::from_secs(1);
/// Time without orders after the process was frozen: it knows of no change since then, and calls right after it don't
/// count.
const THAW_TIME: Duration = Duration::from_secs(1);
const ORDERED_METRIC: &str = "daisydrum_targets_ordered";
const RUNNING_METRIC: &str = "daisydrum_targets_running";

/// The component that plans and orders the number of targets.
pub(crate) struct Planner {
    context: Context,
    directory: Directory,
    replicas: Replicas,
    keeper: Keeper,
    client: Client,
    state: State,
    /// Numbers published as metrics; 0 while another instance holds the duties.
    published: Map<Series, u32>,
}

/// A published number of targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Series {
    metric: &'static str,
    service: name::Service,
    data_centre: name::DataCentre,
    kind: Kind,
}

impl Planner {
    pub(crate) fn new(
        context: &Context,
        directory: &Directory,
        replicas: &Replicas,
        keeper: &Keeper,
        client: &Client,
    ) -> Planner {
        Planner {
            context: context.clone(),
            directory: directory.clone(),
            replicas: replicas.clone(),
            keeper: keeper.clone(),
            client: client.clone(),
            state: State::default(),
            published: Map::default(),
        }
    }

    /// Runs until its task is cancelled.
    pub(crate) async fn run(mut self) {
        loop {
            let before = Moment::now();
            time::sleep(PLAN_INTERVAL).await;
            let now = Moment::now();
            if now.since(before) >= FROZEN_TIME {
                self.state.hold(now + THAW_TIME);
            }
            if !self.client.may_hold() {
                self.state = State::default();
                self.withdraw_metrics();
                continue;
            }
            let Some(config) = self.directory.config() else {
                continue;
            };
            let services = self.services(&config);
            for service in &services {
                self.publish_running(service);
            }
            let orders = plan::plan(&services, &mut self.state, Moment::now());
            let may_send = orders.is_empty()
                || (self.keeper.are_commands_known() && self.record_capacities(&services).await);
            if may_send {
                self.send(orders).await;
            }
        }
    }

    /// Records capacities that are not in the register, since a later holder may find other numbers of targets; `false` if
    /// that may have failed.
    async fn record_capacities(&self, services: &[Service]) -> bool {
        for service in services {
            let Some(found) = self.state.capacity(&service.name) else {
                continue;
            };
            if found.iter().all(|found| service.capacity.contains(found)) {
                continue;
            }
            let targets = found.into_iter().collect();
            let capacity = Capacity { limits: limits(&service.scale), targets };
            let recorded = self.replicas.record_capacity(service.name.clone(), capacity.clone());
            if let Err(failure) = recorded.await {
                info!(self.context.log, "capacity_not_recorded"; "service" => %service.name,
                    "failure" => %failure);
                return false;
            }
            info!(self.context.log, "capacity_recorded"; "service" => %service.name,
                "targets" => ?capacity.targets);
        }
        true
    }

    /// The services whose number of targets is planned, and their targets.
    fn services(&self, config: &Config) -> Vec<Service> {
        let capacities = self.replicas.capacities();
        let planned = config.services.iter().filter_map(|service| {
            let (name, scale) = (service.name.clone(), service.scale.clone()?);
            let capacity = capacities.get(&name, limits(&scale));
            let capacity = capacity.map(|capacity| capacity.targets.clone().into_iter().collect());
            Some(Service {
                name,
                scale,
                centres: Vec::new(),
                capacity: capacity.unwrap_or_default(),
                demand: None,
            })
        });
        let mut planned: Vec<Service> = planned.collect();
        if planned.is_empty() {
            return planned;
        }
        let (_, targets) = self.directory.changed_since(0);
        let now = Moment::now();
        for service in &mut planned {
            service.demand = self.keeper.demand(&service.name, now).map(|demand| Demand {
                rates: Rates {
                    prompt_tokens: demand.prompt_tokens_per_s,
                    output_tokens: demand.output_tokens_per_s,
                },
                measured: now - demand.age,
            });
            let own = targets.iter().filter(|target| target.service == service.name);
            service.centres = count(own);
        }
        planned
    }

    /// Sends the orders one after the other, so that they arrive in the order of their fencing tokens, and records their
    /// outcomes. The rest is planned anew after one that the platform didn't handle.
    async fn send(&mut self, orders: Vec<Order>) {
        for order in orders {
            let outcome = outcome(self.client.call(call(&order)).await);
            self.state.record(&order, outcome, Moment::now());
            // A new holder tries again and again until it may call.
            if outcome == Outcome::NotSent {
                return;
            }
            info!(self.context.log, "targets_ordered"; "service" => %order.service,
                "data_centre" => %order.data_centre, "kind" => %order.kind, "count" => order.count,
                "reason" => %order.reason, "outcome" => %outcome);
            if matches!(outcome, Outcome::Unknown | Outcome::Throttled) {
                return;
            }
            if outcome == Outcome::Accepted {
                let Order { service, data_centre, kind, count, .. } = order;
                let series = Series { metric: ORDERED_METRIC, service, data_centre, kind };
                self.publish(series, count);
            }
        }
    }

    fn publish_running(&mut self, service: &Service) {
        for centre in &service.centres {
            let counts =
                [(Kind::Ordinary, centre.ordinary), (Kind::Reclaimable, centre.reclaimable)];
            for (kind, count) in counts {
                let series = Series {
                    metric: RUNNING_METRIC,
                    service: service.name.clone(),
                    data_centre: centre.name.clone(),
                    kind,
                };
                self.publish(series, count.ready);
            }
        }
    }

    fn publish(&mut self, series: Series, count: u32) {
        if self.published.get(&series) != Some(&count) {
            series.set(count);
            self.published.insert(series, count);
        }
    }

    fn withdraw_metrics(&mut self) {
        for (series, _) in self.published.drain() {
            series.set(0);
        }
    }
}

impl Series {
    fn set(&self, count: u32) {
        let gauge = metrics::gauge!(
            self.metric,
            "service" => self.service.to_string(),
            "data_centre" => self.data_centre.to_string(),
            "kind" => self.kind.to_string()
        );
        gauge.set(f64::from(count));
    }
}

fn limits(scale: &Scale) -> Limits {
    Limits { min: scale.min, max: scale.max }
}

/// Counts a service's targets by data centre, kind and state; those that are lost or have left only show the data centre.
fn count<'a>(targets: impl Iterator<Item = &'a Target>) -> Vec<Centre> {
    let mut centres: Vec<Centre> = Vec::new();
    for target in targets {
        let known = centres.iter().position(|centre| centre.name == target.data_centre);
        let position = known.unwrap_or_else(|| {
            let (ordinary, reclaimable) = (Count::default(), Count::default());
            centres.push(Centre { name: target.data_centre.clone(), ordinary, reclaimable });
            centres.len() - 1
        });
        let centre = &mut centres[position];
        let count = if target.reclaimable { &mut centre.reclaimable } else { &mut centre.ordinary };
        match target.state {
            TargetState::Ready => count.ready += 1,
            TargetState::Draining => count.draining += 1,
            TargetState::Lost | TargetState::Gone => {}
        }
    }
    centres
}

fn call(order: &Order) -> Call {
    Call::Scale(duty::Scale {
        service: order.service.clone(),
        data_centre: order.data_centre.clone(),
        desired: order.count,
        kind: match order.kind {
            Kind::Ordinary => duty::Kind::Ordinary,
            Kind::Reclaimable => duty::Kind::Reclaimable,
        },
    })
}

fn outcome(outcome: platform_api::Outcome) -> Outcome {
    match outcome {
        platform_api::Outcome::Accepted => Outcome::Accepted,
        platform_api::Outcome::Refused(StatusCode::CONFLICT) => Outcome::Unavailable,
        platform_api::Outcome::Refused(_) => Outcome::Refused,
        platform_api::Outcome::Throttled => Outcome::Throttled,
        platform_api::Outcome::Unanswered => Outcome::Unknown,
        platform_api::Outcome::NotHolder => Outcome::NotSent,
    }
}
