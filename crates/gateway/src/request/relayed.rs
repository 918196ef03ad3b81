//! Passes a request to a peer, while this instance is cut off from the service.

use common::name;
use fleet::relay::{self, Word};
use memory::ledger::Class;
use placement::relay::Outcome;
use slog::info;

use crate::{
    pool::Reuse,
    relay::{Assignment, client, encode_headers},
    request::Pending,
    state::ms,
};

/// What became of a request that was passed to a peer.
pub(crate) enum Passed {
    /// A target may have run it; the body is yet to be read.
    Answered(client::Answer),
    /// The peer refuses it; it did not run.
    Refused(client::Answer),
    /// It did not run, and another peer may serve it.
    NotRun,
    /// It may have run, and there is no response.
    MayHaveRun,
}

impl Pending {
    /// Passes the request to a peer and waits for the head of the response.
    pub(crate) async fn pass_on(
        &self,
        assignment: &mut Assignment,
        resume_after: Option<u64>,
    ) -> Passed {
        // The frame and the buffer of the connection hold a copy each while it is sent.
        let mut copies = self.gateway.memory.reservation(Class::Frames);
        if copies.grow(2 * self.body.len()).await.is_err() {
            assignment.set_outcome(Outcome::Abandoned);
            self.progress().avoided_peers.push(assignment.peer.clone());
            return Passed::NotRun;
        }
        let reuse = if self.has_attempts_left() { Reuse::Any } else { Reuse::Never };
        let request = self.relayed(resume_after);
        self.progress().record_relay();
        let idle = &self.gateway.relay.idle;
        let sent = idle.send(assignment.address, reuse, &request, &self.body).await;
        let (passed, outcome) = match sent {
            Ok(answer) => match answer.word {
                Word::Answered => (Passed::Answered(answer), Outcome::Answered),
                Word::NotRun => (Passed::Refused(answer), Outcome::Busy),
                Word::CutOff => (Passed::NotRun, Outcome::CutOff),
                Word::Unavailable => (Passed::NotRun, Outcome::Unreached),
            },
            Err(error) => {
                info!(self.gateway.log, "peer_not_reached"; "id" => &self.metadata.id,
                    "peer" => %assignment.peer, "fault" => %error);
                let passed = match error {
                    client::Error::NotSent(_) => Passed::NotRun,
                    client::Error::MaybeSent(_) => Passed::MayHaveRun,
                };
                (passed, Outcome::Unreached)
            }
        };
        assignment.set_outcome(outcome);
        if matches!(passed, Passed::NotRun | Passed::Refused(_)) {
            self.progress().withdraw_send();
        }
        if matches!(passed, Passed::NotRun | Passed::MayHaveRun) {
            self.progress().avoided_peers.push(assignment.peer.clone());
        }
        self.log_relay(&assignment.peer, &passed);
        passed
    }

    fn log_relay(&self, peer: &name::Instance, passed: &Passed) {
        let outcome = match passed {
            Passed::Answered(_) => "answered",
            Passed::Refused(_) => "refused",
            Passed::NotRun => "not_run",
            Passed::MayHaveRun => "unknown",
        };
        metrics::counter!("daisydrum_requests_relayed_total", "outcome" => outcome).increment(1);
        info!(self.gateway.log, "request_relayed"; "id" => &self.metadata.id,
            "route" => &self.route().name, "peer" => %peer, "outcome" => outcome,
            "ms" => self.age_ms(), "left_ms" => ms(self.remaining()));
    }

    fn relayed(&self, resume_after: Option<u64>) -> relay::Request {
        let progress = self.progress();
        let began = progress.began.clone().map(relay::Beginning::from);
        // The run that is passed on is one of the attempts.
        let runs = progress.attempts().saturating_sub(1);
        let used = relay::Used { runs, sends: progress.sends };
        drop(progress);
        relay::Request {
            method: self.method.to_string(),
            uri: self.uri.to_string(),
            headers: encode_headers(&self.headers),
            remaining_ms: ms(self.remaining()),
            resume_after,
            began,
            used,
        }
    }
}
