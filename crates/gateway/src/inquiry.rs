//! Questions to the keepers of a cell before a request is sent to one of its engines. The decisions are in
//! [`placement::cell`] and [`placement::balancer::cells`].

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use fleet::exchange::load::{Inquiry, Loads};
use placement::{balancer::cells::Consultation, silence::Silences};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// Capacity of the queue of questions; those that find it full are not asked.
const MAX_QUEUED_QUESTIONS: usize = 256;
/// Time after which the next keeper is asked. The answer takes a round trip between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Keepers of a cell that are asked for a request.
const MAX_ASKED: usize = 2;

/// A question to a keeper.
#[derive(Clone, Debug)]
pub struct Question {
    /// The keeper.
    pub keeper: name::Instance,
    /// What it is asked.
    pub inquiry: Inquiry,
}

/// Questions that wait for an answer.
#[derive(Debug)]
pub struct Table {
    waiting: Mutex<Map<u64, oneshot::Sender<Loads>>>,
    silences: Mutex<Silences>,
    questions: mpsc::Sender<Question>,
}

impl Table {
    /// Creates an empty table; the receiver yields the questions.
    pub fn new() -> (Table, mpsc::Receiver<Question>) {
        let (questions, receiver) = mpsc::channel(MAX_QUEUED_QUESTIONS);
        let table = Table { waiting: Mutex::default(), silences: Mutex::default(), questions };
        (table, receiver)
    }

    /// Number of questions that wait for an answer.
    pub fn len(&self) -> usize {
        self.waiting().len()
    }

    /// Whether no question waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Passes on an answer; one that nobody waits for any more is dropped.
    pub(crate) fn answer(&self, loads: Loads) {
        if let Some(waiting) = self.waiting().remove(&loads.number) {
            let _given_up = waiting.send(loads);
        }
    }

    /// Asks the keepers one after the other, but for those that have not answered lately.
    pub async fn ask(&self, consultation: &Consultation) -> Option<Loads> {
        let Consultation { inquiry, keepers } = consultation;
        let keepers = self.silences().order(keepers, Moment::now());
        for keeper in keepers.into_iter().take(MAX_ASKED) {
            match self.ask_one(&keeper, inquiry).await {
                Some(loads) => {
                    self.silences().record_answer(&keeper);
                    if !loads.engines.is_empty() {
                        return Some(loads);
                    }
                }
                None => {
                    metrics::counter!("daisydrum_inquiries_unanswered_total").increment(1);
                    self.silences().record_silence(&keeper, Moment::now());
                }
            }
        }
        None
    }

    async fn ask_one(&self, keeper: &name::Instance, inquiry: &Inquiry) -> Option<Loads> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(inquiry.number, sender);
        let _waiting = Waiting { table: self, number: inquiry.number };
        let question = Question { keeper: keeper.clone(), inquiry: inquiry.clone() };
        self.questions.try_send(question).ok()?;
        time::timeout(ANSWER_TIMEOUT, receiver).await.ok()?.ok()
    }

    fn waiting(&self) -> MutexGuard<'_, Map<u64, oneshot::Sender<Loads>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn silences(&self) -> MutexGuard<'_, Silences> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A question that waits until this is dropped, also because its request is given up.
struct Waiting<'a> {
    table: &'a Table,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.table.waiting().remove(&self.number);
    }
}
