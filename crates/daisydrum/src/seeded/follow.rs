//! Follows every control instance at once, so that none that is cut off, slow or frozen holds news back.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{clock::Moment, collections::Map};
use fleet::exchange::{self, Answer, Cursor, Kind, Question, Update};
use slog::{debug, info};
use tokio::{task::JoinHandle, time};
use wire::peer::PeerClient;

use crate::seeded::{context::Context, directory::Directory};

/// Wait of a question for news at an instance that serves callers.
const ENTRY_WAIT: Duration = Duration::from_millis(1_000);
/// Wait at a control instance, whose peers also want to know which targets were heard from.
const CONTROL_WAIT: Duration = Duration::from_millis(400);
/// Time beyond the wait after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(700);
/// A configuration of a megabyte takes a second over a link of 10 Mbit/s; another instance is asked after this.
const FETCH_LIMIT: Duration = Duration::from_millis(1_500);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(500);
const MANAGE_PAUSE: Duration = Duration::from_millis(250);
/// A control instance that is no seed and wasn't reached for longer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Time after its start in which an instance takes its first configuration only from one in contact with the leader.
const CAREFUL_START: Duration = Duration::from_secs(3);

/// Starts to follow the control instances.
pub(crate) fn start(context: &Context, directory: &Directory) {
    let manager = manage(context.clone(), directory.clone());
    let end = context.end.clone();
    tokio::spawn(async move { end.run_until_cancelled(manager).await });
}

async fn manage(context: Context, directory: Directory) {
    let mut followers: Map<SocketAddr, JoinHandle<()>> = Map::default();
    loop {
        let seeds = context.seeds.borrow().clone();
        let wanted = directory.control().into_iter().chain(seeds);
        for address in wanted.filter(|address| *address != context.identity.address) {
            if followers.get(&address).is_none_or(JoinHandle::is_finished) {
                let follower = Follower::new(address, &context, &directory);
                let end = context.end.clone();
                let run = async move {
                    end.run_until_cancelled(follower.run()).await;
                };
                followers.insert(address, tokio::spawn(run));
            }
        }
        followers.retain(|_, follower| !follower.is_finished());
        time::sleep(MANAGE_PAUSE).await;
    }
}

struct Follower {
    address: SocketAddr,
    context: Context,
    directory: Directory,
    cursor: Cursor,
    started: Instant,
}

impl Follower {
    fn new(address: SocketAddr, context: &Context, directory: &Directory) -> Follower {
        Follower {
            address,
            context: context.clone(),
            directory: directory.clone(),
            cursor: Cursor::default(),
            started: Instant::now(),
        }
    }

    /// Follows until the instance is forgotten.
    async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut heard = Instant::now();
        loop {
            match self.ask_update().await {
                Some(update) => {
                    if pause > FIRST_PAUSE {
                        info!(self.context.log, "control_reached"; "address" => %self.address);
                    }
                    pause = FIRST_PAUSE;
                    heard = Instant::now();
                    self.take(update).await;
                }
                None => {
                    if pause == FIRST_PAUSE {
                        info!(self.context.log, "control_not_reached"; "address" => %self.address);
                    }
                    // What it said of engines before may be over.
                    self.directory.note_changing(self.address, Vec::new());
                    let seed = self.context.seeds.borrow().contains(&self.address);
                    if heard.elapsed() > FORGET_AFTER && !seed {
                        self.directory.forget_control(self.address);
                        return;
                    }
                    time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    async fn ask_update(&self) -> Option<Update> {
        let wait = match self.context.identity.kind {
            Kind::Entry => ENTRY_WAIT,
            Kind::Control => CONTROL_WAIT,
        };
        let question = Question::Follow {
            from: self.context.identity.clone(),
            cursor: self.cursor,
            version: self.directory.version(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        match self.ask(&question, wait + SILENCE).await? {
            Answer::Update(update) => Some(update),
            Answer::Document(_) | Answer::Holdings(_) | Answer::Later | Answer::Refused => None,
        }
    }

    /// Fetches a configuration unless another one that is as new has come meanwhile.
    async fn fetch(&self, version: u64) {
        let _turn = self.directory.fetch_turn().await;
        let above = self.directory.version();
        if above >= version {
            return;
        }
        let answer = self.ask(&Question::Fetch { above }, FETCH_LIMIT).await;
        if let Some(Answer::Document(Some(document))) = answer {
            self.directory.adopt(document);
        }
    }

    async fn ask(&self, question: &Question, limit: Duration) -> Option<Answer> {
        ask(&self.context, self.address, question, limit).await
    }

    async fn take(&mut self, update: Update) {
        let now = Moment::now();
        self.directory.merge(update.targets, now);
        self.directory.note_changing(self.address, update.changing);
        self.directory.note_control(update.control);
        self.directory.note_entries(update.entries, now);
        self.cursor = update.cursor;
        // A control instance takes the configuration from its own replica alone.
        if self.context.identity.kind == Kind::Control {
            return;
        }
        let held = self.directory.version();
        let trusted = update.contact || held > 0 || self.started.elapsed() > CAREFUL_START;
        if update.version > held && trusted {
            self.fetch(update.version).await;
        }
    }
}

/// Asks another instance; nothing if it gives no answer within `limit`.
pub(crate) async fn ask(
    context: &Context,
    address: SocketAddr,
    question: &Question,
    limit: Duration,
) -> Option<Answer> {
    let question = exchange::encode(question);
    let call =
        async |client: &PeerClient, context| client.exchange(context, question.clone()).await;
    match context.link(address).call(limit, call).await {
        Ok(answer) => exchange::decode(&answer),
        Err(fault) => {
            debug!(context.log, "question_failed"; "address" => %address, "fault" => %fault);
            None
        }
    }
}
