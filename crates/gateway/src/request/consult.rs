//! Asks the keepers of a prompt's cell for engines.

use common::{clock::Moment, name};
use fleet::exchange;
use placement::balancer::{
    Key,
    cells::{Answers, Consultation},
    selection::Criteria,
};

use crate::{
    metric::{self, Stage},
    request::Pending,
    state::Gateway,
};

impl Pending {
    /// Asks the keepers of the prompt's cell for engines, where they know more than this instance.
    pub(crate) async fn consult(&self) {
        let Some(service) =
            self.service().filter(|service| !self.gateway.relay.is_cut_off(service))
        else {
            return;
        };
        let mut answers = Answers::default();
        let started = Moment::now();
        while let Some(consultation) = self.next_consultation(&service, &answers) {
            let loads = self.gateway.inquiries.ask(&consultation).await;
            let now = Moment::now();
            let mut balancer = self.gateway.balancer();
            balancer.observe(&consultation.inquiry, loads.as_ref(), &mut answers, now);
        }
        if !answers.is_empty() {
            metric::observe(Stage::Inquiry, Moment::now().since(started));
        }
        self.progress().suggestion = answers.suggestion;
    }

    fn next_consultation(
        &self,
        service: &name::Service,
        answers: &Answers,
    ) -> Option<Consultation> {
        let progress = self.progress();
        let avoid: Vec<Key> = progress.avoid.iter().chain(&progress.silent).copied().collect();
        let criteria = Criteria { avoid: &avoid, ..self.criteria(service, &progress) };
        self.gateway.balancer().consult(&criteria, answers, Moment::now())
    }
}

/// Engines that a keeper has chosen; tells the keepers if the request isn't sent there.
pub(super) struct Unused<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) declined: Option<exchange::Notice>,
}

impl Drop for Unused<'_> {
    fn drop(&mut self) {
        self.gateway.notify_peers(self.declined.take());
    }
}
