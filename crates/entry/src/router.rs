//! The thread that knows the targets and chooses among them.

use std::{
    io,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{cancel, clock::Moment, collections, name, ring};
use tokio::sync::oneshot;
use wire::{operator, target};

const RING_COMMANDS: usize = 16_384;
const TICK: Duration = Duration::from_millis(100);

/// What a request asks the router for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The partner whose request it is.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// The model, adapter or version; `None` for plain services.
    pub model: Option<String>,
}

/// The target for an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: name::Target,
    /// Where it takes calls.
    pub address: SocketAddr,
}

/// Messages to the router's thread.
#[derive(Debug)]
pub enum Command {
    /// A target announced itself.
    Announce(Box<target::Announcement>),
    /// A request needs a target.
    Choose(Ask, oneshot::Sender<Option<Choice>>),
    /// An attempt has ended.
    Finish(name::Target),
    /// Asks for the targets.
    List(oneshot::Sender<Vec<operator::Target>>),
}

/// Sends commands to the router's thread.
pub type Handle = ring::Sender<Command>;

#[derive(Debug)]
struct Record {
    announcement: target::Announcement,
    expires: Moment,
    outstanding: u32,
}

/// Starts the router's thread.
///
/// # Errors
///
/// Returns the operating system's error when the thread can't be started.
pub fn start(cancel: cancel::Token) -> io::Result<(Handle, JoinHandle<()>)> {
    let (sender, receiver) = ring::bounded(RING_COMMANDS);
    let thread = thread::Builder::new()
        .name(String::from("router"))
        .spawn(move || run(&receiver, &cancel))?;
    Ok((sender, thread))
}

fn run(commands: &ring::Receiver<Command>, cancel: &cancel::Token) {
    let mut table = Table::default();
    while !cancel.is_cancelled() {
        let command = commands.recv_timeout(TICK);
        table.expire(Moment::now());
        if let Ok(command) = command {
            table.handle(command);
        }
    }
}

#[derive(Debug, Default)]
struct Table {
    records: collections::Map<name::Target, Record>,
}

impl Table {
    fn handle(&mut self, command: Command) {
        match command {
            Command::Announce(announcement) => self.announce(*announcement),
            Command::Choose(ask, reply) => {
                let choice = self.choose(&ask);
                let target = choice.as_ref().map(|choice| choice.target.clone());
                if let (Err(_), Some(target)) = (reply.send(choice), target) {
                    self.finish(&target);
                }
            }
            Command::Finish(target) => self.finish(&target),
            Command::List(reply) => {
                // The asker may have given up; then nobody needs the list.
                let _unsent = reply.send(self.list());
            }
        }
    }

    fn announce(&mut self, announcement: target::Announcement) {
        let expires = Moment::now() + Duration::from_millis(announcement.lease_ms);
        let outstanding =
            self.records.get(&announcement.target).map_or(0, |record| record.outstanding);
        let target = announcement.target.clone();
        self.records.insert(target, Record { announcement, expires, outstanding });
    }

    fn choose(&mut self, ask: &Ask) -> Option<Choice> {
        let record = self
            .records
            .values_mut()
            .filter(|record| serves(record, ask))
            .min_by_key(|record| record.outstanding)?;
        record.outstanding += 1;
        Some(Choice {
            target: record.announcement.target.clone(),
            address: record.announcement.address,
        })
    }

    fn finish(&mut self, target: &name::Target) {
        if let Some(record) = self.records.get_mut(target) {
            record.outstanding = record.outstanding.saturating_sub(1);
        }
    }

    fn expire(&mut self, now: Moment) {
        self.records.retain(|_, record| record.expires > now);
    }

    fn list(&self) -> Vec<operator::Target> {
        let mut targets: Vec<_> = self.records.values().map(describe).collect();
        targets.sort_by(|left, right| left.name.cmp(&right.name));
        targets
    }
}

fn serves(record: &Record, ask: &Ask) -> bool {
    let announcement = &record.announcement;
    let model = ask.model.as_ref().is_none_or(|model| announcement.models.contains(model));
    let place = announcement.partner == ask.partner && announcement.service == ask.service;
    place && model && announcement.phase == target::Phase::Ready
}

fn describe(record: &Record) -> operator::Target {
    let announcement = &record.announcement;
    operator::Target {
        name: announcement.target.clone(),
        partner: announcement.partner.clone(),
        service: announcement.service.clone(),
        data_centre: announcement.data_centre.clone(),
        kind: announcement.kind,
        role: announcement.role,
        phase: announcement.phase,
        models: announcement.models.clone(),
        outstanding: record.outstanding,
    }
}
