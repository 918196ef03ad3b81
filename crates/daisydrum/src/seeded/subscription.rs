//! Polls all control instances for updates concurrently, so that one that is partitioned, slow or frozen doesn't delay
//! the updates of the others.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use common::{clock::Moment, collections::Map};
use fleet::exchange::{self, Answer, Cursor, Kind, Question, Update};
use gateway::access;
use slog::{debug, info, warn};
use tokio::{task::JoinHandle, time};
use wire::peer::PeerClient;

use crate::seeded::{
    context::Context,
    directory::{Contact, Directory},
    ledger::Ledger,
};

/// Time for which an entry instance lets a control instance hold a poll open until there is an update.
const ENTRY_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The same for polls by a control instance; shorter, since its updates also list targets that announced themselves
/// without a change.
const CONTROL_POLL_WAIT: Duration = Duration::from_millis(400);
/// Time beyond the wait after which a poll counts as failed.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Longest wait for a segment of a configuration.
const SEGMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a whole configuration, which instances of earlier builds send at once.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The same while the instance starts: its first request waits for a control instance that may come up at any time.
const MAX_STARTUP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two checks whether each control instance has a subscription.
const MANAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a control instance that is not a seed and can't be reached is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Time after its start in which an instance accepts its first configuration only from a control instance that is in
/// contact with the leader.
const STARTUP_TRUST_DELAY: Duration = Duration::from_secs(3);

/// Starts one subscription for each control instance that is known or becomes known.
///
/// A control instance saves new software versions in its `ledger` before it passes them on; an entry instance renews the
/// lease of its API `keys`.
pub(crate) fn start(
    context: &Context,
    directory: &Directory,
    ledger: Option<Ledger>,
    keys: Option<Arc<access::Keys>>,
) {
    let manager = manage(context.clone(), directory.clone(), ledger, keys);
    let end = context.end.clone();
    tokio::spawn(async move { end.run_until_cancelled(manager).await });
}

async fn manage(
    context: Context,
    directory: Directory,
    ledger: Option<Ledger>,
    keys: Option<Arc<access::Keys>>,
) {
    let mut subscriptions: Map<SocketAddr, JoinHandle<()>> = Map::default();
    loop {
        let seeds = context.seeds.borrow().clone();
        let wanted = directory.control_addresses().into_iter().chain(seeds);
        for address in wanted.filter(|address| *address != context.identity.address) {
            if subscriptions.get(&address).is_none_or(JoinHandle::is_finished) {
                let mut subscription =
                    Subscription::new(address, &context, &directory, ledger.clone());
                subscription.keys = keys.clone();
                let end = context.end.clone();
                let run = async move {
                    end.run_until_cancelled(subscription.run()).await;
                };
                subscriptions.insert(address, tokio::spawn(run));
            }
        }
        subscriptions.retain(|_, subscription| !subscription.is_finished());
        time::sleep(MANAGE_INTERVAL).await;
    }
}

/// Long polling of one control instance, from the updates' cursor on.
struct Subscription {
    address: SocketAddr,
    context: Context,
    directory: Directory,
    ledger: Option<Ledger>,
    keys: Option<Arc<access::Keys>>,
    cursor: Cursor,
    /// Digest of the entry instances that the last poll named; 0 for none.
    roster: u64,
    /// Whether the control instance answers without those that are known.
    lists_changes: bool,
    started: Instant,
}

impl Subscription {
    fn new(
        address: SocketAddr,
        context: &Context,
        directory: &Directory,
        ledger: Option<Ledger>,
    ) -> Subscription {
        Subscription {
            address,
            context: context.clone(),
            directory: directory.clone(),
            ledger,
            keys: None,
            cursor: Cursor::default(),
            roster: 0,
            lists_changes: true,
            started: Instant::now(),
        }
    }

    /// Polls until the control instance is forgotten.
    async fn run(mut self) {
        let mut retry_delay = MIN_RETRY_DELAY;
        let mut last_reached = Instant::now();
        loop {
            match self.poll().await {
                Some(update) => {
                    if retry_delay > MIN_RETRY_DELAY {
                        info!(self.context.log, "control_reached"; "address" => %self.address);
                    }
                    retry_delay = MIN_RETRY_DELAY;
                    last_reached = Instant::now();
                    self.apply(update).await;
                }
                None => {
                    if retry_delay == MIN_RETRY_DELAY {
                        info!(self.context.log, "control_not_reached"; "address" => %self.address);
                    }
                    // It may be back as another build.
                    self.lists_changes = true;
                    // Its last list of changing engines may be outdated.
                    self.directory.set_changing(self.address, Vec::new());
                    let seed = self.context.seeds.borrow().contains(&self.address);
                    if last_reached.elapsed() > FORGET_AFTER && !seed {
                        self.directory.forget_control(self.address);
                        return;
                    }
                    time::sleep(retry_delay).await;
                    let longest = if self.context.startup.is_under_way(Moment::now()) {
                        MAX_STARTUP_RETRY_DELAY
                    } else {
                        MAX_RETRY_DELAY
                    };
                    retry_delay = (retry_delay * 2).min(longest);
                }
            }
        }
    }

    async fn poll(&mut self) -> Option<Update> {
        let wait = match self.context.identity.kind {
            Kind::Entry => ENTRY_POLL_WAIT,
            Kind::Control => CONTROL_POLL_WAIT,
        };
        let from = self.context.identity.clone();
        let (cursor, version) = (self.cursor, self.directory.version());
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.roster =
            if self.lists_changes { self.directory.entries_digest(self.address) } else { 0 };
        let question = if self.lists_changes {
            let roster = self.roster;
            let started_unix_ns = self.directory.incarnation();
            Question::FollowChanges { from, cursor, version, wait_ms, roster, started_unix_ns }
        } else {
            Question::Follow { from, cursor, version, wait_ms }
        };
        let asked_at = Moment::now();
        match self.ask(&question, wait + RESPONSE_MARGIN).await? {
            Answer::Update(update) => {
                if let (Some(keys), Some(reading)) = (&self.keys, update.reading) {
                    keys.renew(reading.version, reading.began_at(asked_at));
                }
                Some(update)
            }
            Answer::Refused if self.lists_changes => {
                self.lists_changes = false;
                Box::pin(self.poll()).await
            }
            Answer::Document(_)
            | Answer::Holdings(_)
            | Answer::Suspicions(_)
            | Answer::Origin { .. }
            | Answer::Access(_)
            | Answer::Kept
            | Answer::Testimony(_)
            | Answer::Usage(_)
            | Answer::Time { .. }
            | Answer::Segment(_)
            | Answer::Later
            | Answer::Refused => None,
        }
    }

    /// Fetches a configuration, segment by segment, unless one of this version or a newer one has arrived meanwhile.
    ///
    /// One instance at a time is asked. Once a segment is late another one is asked, too, which goes on with the transfer.
    async fn fetch(&self, version: u64) {
        loop {
            let turn = self.directory.take_download_turn().await;
            if self.directory.version() >= version {
                return;
            }
            let held = self.directory.document();
            let (wanted, hedge_delay) = {
                let download = self.directory.download();
                (download.wanted(held.as_deref()), download.hedge_delay())
            };
            let question = Question::FetchSegment(wanted);
            let mut answer = pin!(self.ask(&question, hedge_delay.max(SEGMENT_TIMEOUT)));
            let answer = match time::timeout(hedge_delay, &mut answer).await {
                Ok(answer) => answer,
                Err(_elapsed) => {
                    self.directory.download().record_failure();
                    drop(turn);
                    answer.await
                }
            };
            let segment = match answer {
                Some(Answer::Segment(Some(segment))) => segment,
                Some(Answer::Refused) => return self.fetch_whole().await,
                _ => return,
            };
            metrics::counter!("daisydrum_config_received_bytes_total")
                .increment(segment.bytes.len() as u64);
            if let Err(error) = self.directory.receive(&segment) {
                warn!(self.context.log, "config_not_received"; "address" => %self.address,
                    "version" => segment.key.version, "fault" => %error);
                return;
            }
        }
    }

    /// Fetches a configuration from an instance of an earlier build.
    async fn fetch_whole(&self) {
        let above = self.directory.version();
        let answer = self.ask(&Question::Fetch { above }, FETCH_TIMEOUT).await;
        if let Some(Answer::Document(Some(document))) = answer {
            metrics::counter!("daisydrum_config_received_bytes_total")
                .increment(document.bytes.len() as u64);
            self.directory.install(document);
        }
    }

    async fn ask(&self, question: &Question, limit: Duration) -> Option<Answer> {
        ask(&self.context, self.address, question, limit).await
    }

    async fn apply(&mut self, update: Update) {
        if let Some(ledger) = &self.ledger {
            ledger.save_versions(&update.targets).await;
        }
        let now = Moment::now();
        self.directory.learn_versions(&update.versions, now);
        self.directory.merge(update.targets, now);
        self.directory.set_changing(self.address, update.changing);
        self.directory.add_control_instances(update.control);
        self.directory.hear_control(self.address, now);
        if let Some(predecessor) = update.predecessor {
            self.directory.hear_predecessor(predecessor);
        }
        let contact = if update.contact { Contact::Held } else { Contact::Lost };
        let is_known = self.roster != 0 && update.roster == self.roster;
        let list = (!is_known).then_some(update.entries);
        self.directory.update_entry_instances(self.address, update.roster, list, contact, now);
        self.cursor = update.cursor;
        // A control instance gets the configuration from its own replica only.
        if self.context.identity.kind == Kind::Control {
            if self.directory.version() > 0 {
                self.context.startup.end();
            }
            return;
        }
        let held = self.directory.version();
        let trusted = update.contact || held > 0 || self.started.elapsed() > STARTUP_TRUST_DELAY;
        if update.version > held && trusted {
            self.directory.announce_version(update.version);
            self.fetch(update.version).await;
        }
    }
}

/// Sends a question to another instance; `None` if no answer arrives within `limit`.
pub(crate) async fn ask(
    context: &Context,
    address: SocketAddr,
    question: &Question,
    limit: Duration,
) -> Option<Answer> {
    let question = exchange::encode_question(question);
    let call =
        async |client: &PeerClient, context| client.exchange(context, question.clone()).await;
    match context.link(address).call(limit, call).await {
        Ok(answer) => exchange::decode_answer(&answer),
        Err(error) => {
            debug!(context.log, "question_failed"; "address" => %address, "fault" => %error);
            None
        }
    }
}
