//! One run of a stream at a peer: passes the request on and reads events from the peer's response.

use std::sync::Arc;

use entry::event::{Sequence, Splitter};
use memory::ledger::Class;
use placement::hedge;
use slog::info;
use tokio::sync::mpsc;

use crate::{
    progress::Claim,
    relay::{Assignment, client::Answer},
    request::{Passed, Pending},
    stream::{
        Cause,
        held::{Held, hold},
        run::{Abandoned, Again, Ending, MAX_ERROR_BYTES, Update},
    },
};

/// A run at a peer; it is cancelled by dropping it.
pub(super) struct Task {
    pub(super) request: Arc<Pending>,
    pub(super) assignment: Assignment,
    pub(super) run: hedge::Run,
    pub(super) updates: mpsc::Sender<(hedge::Run, Update)>,
    /// Id of the event after which the stream is resumed.
    pub(super) resume_after: Option<u64>,
}

impl Task {
    pub(super) async fn run(mut self) {
        let request = Arc::clone(&self.request);
        let mut claim = None;
        let Ok(ending) = self.execute(&request, &mut claim).await else {
            return;
        };
        let Task { assignment, updates, run, .. } = self;
        drop(assignment);
        // Without a receiver nobody waits for the ending.
        let _abandoned = updates.send((run, Update::Ended { ending, again: Again::Allowed })).await;
        // A run that waits for the claim must not report its end before this one.
        drop(claim);
    }

    async fn execute<'a>(
        &mut self,
        request: &'a Arc<Pending>,
        claim: &mut Option<Claim<'a>>,
    ) -> Result<Ending, Abandoned> {
        *claim = request.claim().await;
        if claim.is_none() {
            return Ok(Ending::Unclaimed);
        }
        let passed = request.pass_on(&mut self.assignment, self.resume_after).await;
        if matches!(passed, Passed::Refused(_) | Passed::NotRun)
            && let Some(claim) = claim.take()
        {
            claim.withdraw();
        }
        match passed {
            Passed::Answered(answer) if answer.head.status.is_success() => {
                self.read_events(answer).await
            }
            Passed::Answered(answer) => Ok(Ending::Error(self.read(answer).await)),
            Passed::Refused(answer) => Ok(Ending::Refused(self.read(answer).await)),
            Passed::NotRun => Ok(Ending::NotRun),
            Passed::MayHaveRun => Ok(Ending::Incomplete(Cause::ConnectionLost)),
        }
    }

    async fn read(&self, answer: Answer) -> Option<crate::whole::Buffered> {
        let reservation = self.request.gateway.memory.reservation(Class::Responses);
        match answer.read(reservation, MAX_ERROR_BYTES).await {
            Ok(buffered) => Some(buffered),
            Err(error) => {
                info!(self.request.gateway.log, "response_not_read";
                    "id" => &self.request.metadata.id, "peer" => %self.assignment.peer,
                    "fault" => %error);
                None
            }
        }
    }

    async fn read_events(&mut self, mut answer: Answer) -> Result<Ending, Abandoned> {
        if let Some(began) = answer.began.take() {
            self.report(Update::Began(began)).await?;
        }
        self.report(Update::Head(answer.head.clone())).await?;
        let mut splitter = Splitter::default();
        let mut sequence =
            self.resume_after.map_or_else(Sequence::default, |_| Sequence::resumed());
        let mut held = Held::new(&self.request);
        let cause = 'reading: loop {
            let bytes = match answer.next().await {
                Ok(None) if splitter.is_empty() => return Ok(Ending::Complete),
                Ok(None) | Err(_) => break Cause::ConnectionLost,
                Ok(Some(bytes)) => bytes,
            };
            if splitter.push(&bytes).is_err() {
                break Cause::OversizedEvent;
            }
            if held.count(&splitter).await.is_err() {
                break Cause::NoMemory;
            }
            while let Some(event) = splitter.take() {
                if !sequence.accepts(&event) {
                    break 'reading Cause::NoEvent;
                }
                let event = hold(&self.request, event, &self.updates).await?;
                self.report(Update::Event(event)).await?;
            }
            if held.count(&splitter).await.is_err() {
                break Cause::NoMemory;
            }
        };
        info!(self.request.gateway.log, "stream_broke_off"; "id" => &self.request.metadata.id,
            "peer" => %self.assignment.peer, "run" => self.run.0, "cause" => %cause,
            "ms" => self.request.age_ms());
        self.request.progress().avoided_peers.push(self.assignment.peer.clone());
        Ok(Ending::Incomplete(cause))
    }

    async fn report(&self, update: Update) -> Result<(), Abandoned> {
        self.updates.send((self.run, update)).await.map_err(|_closed| Abandoned)
    }
}
