//! Real daemons that keep replicas of one branch's log, and a client of that log.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use common::name;
use consensus::status::{Role, Status};
use control::{claim, command::Command, query, reply::Reply};
use replica::{client::Client, host::Host, transport};
use settings::instance;
use standin::harness::{
    daemon::{self, Daemon},
    folder::Folder,
    wait,
};
use wire::{
    link::Link,
    log::{self, Error},
};

const BRANCH: &str = "inkleaf";
const TIMEOUT: Duration = Duration::from_secs(10);

/// Daemons that each keep a replica of the branch's log.
pub struct Cluster {
    pub daemons: Vec<Daemon>,
    pub client: Client,
    folder: Folder,
}

impl Cluster {
    /// Starts `count` daemons and waits until the replica of one leads.
    pub async fn start(name: &str, count: usize) -> Cluster {
        Cluster::start_with_learners(name, count, 0).await
    }

    /// Starts `learners` daemons whose replicas wait to be added, then `founders` whose replicas form the log.
    pub async fn start_with_learners(name: &str, founders: usize, learners: usize) -> Cluster {
        let folder = Folder::new(name);
        let mut settings: Vec<instance::Instance> = (0..founders + learners)
            .map(|number| {
                let name = format!("i{number}");
                let mut settings = daemon::settings(&name, "sapporo-a", folder.path());
                settings.tree = None;
                settings.data_folder = Some(folder.path().join(&name).display().to_string());
                let founder = number >= learners;
                let start =
                    if founder { instance::Start::Founder } else { instance::Start::Learner };
                settings.replicas = vec![instance::Replica { branch: BRANCH.to_owned(), start }];
                settings
            })
            .collect();
        daemon::connect(&mut settings);
        let peers = settings.iter().map(peer).collect();
        let client = Client::new(name::Instance::from("test"), Host::default(), peers);
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_daisydrum"));
        let start = |settings| Daemon::start(&binary, folder.path(), settings);
        let daemons = settings.into_iter().map(start).collect();
        let cluster = Cluster { daemons, client, folder };
        cluster.until("a replica leads", |status| status.role == Role::Leader).await;
        cluster
    }

    /// Waits until the status of at least one replica satisfies `holds`.
    pub async fn until(&self, description: &str, holds: impl Fn(&Status) -> bool) {
        wait::until(description, async || self.statuses().await.iter().flatten().any(&holds)).await;
    }

    /// Each daemon's status of its own replica, by number of the daemon; `None` for one that doesn't respond.
    pub async fn statuses(&self) -> Vec<Option<Status>> {
        let mut statuses = Vec::new();
        for daemon in &self.daemons {
            let response = daemon.get(log::REPLICAS_PATH).await;
            let replicas: Vec<log::Replica> =
                response.and_then(|response| response.json().ok()).unwrap_or_default();
            let own =
                replicas.into_iter().find(|replica| replica.instance.0 == daemon.settings().name);
            statuses.push(own.and_then(|replica| replica.status));
        }
        statuses
    }

    /// Waits for a leader and returns the number of its daemon; of two that claim to lead, the one with the later term.
    pub async fn leader(&self) -> usize {
        self.until("a replica leads", |status| status.role == Role::Leader).await;
        let statuses = self.statuses().await;
        let leader = statuses.iter().flatten().filter(|status| status.role == Role::Leader);
        let leader = leader.max_by_key(|status| status.term).unwrap().id;
        statuses
            .iter()
            .position(|status| status.as_ref().is_some_and(|own| own.id == leader))
            .unwrap()
    }

    /// Folder of a daemon's replica.
    pub fn replica_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("i{number}")).join("replicas").join(BRANCH)
    }

    /// Kills a daemon and deletes its data folder.
    pub fn wipe(&mut self, number: usize) {
        self.daemons[number].kill();
        fs::remove_dir_all(self.folder.path().join(format!("i{number}"))).unwrap();
    }

    /// Submits the replacement of the replica at `old` by one at `new`; returns whether it was accepted.
    pub async fn replace(&self, old: &str, new: &str) -> bool {
        let (old, new) = (name::Instance::from(old), name::Instance::from(new));
        self.client.replace(&branch(), old, new, TIMEOUT).await.is_ok()
    }

    /// Claims a key; a second claim of the same key submits the same command, as a resend does.
    pub async fn claim(&self, key: u64) -> Result<Reply, Error> {
        let begin = claim::Begin {
            key: claim_key(key),
            digest: claim::Digest::default(),
            claimant: name::Instance::from("test"),
            attempt: format!("attempt-{key}"),
            deadline_ms: 3_600_000,
            retention_ms: 3_600_000,
        };
        self.client.submit(&branch(), &Command::Claim(begin), TIMEOUT).await
    }

    /// Claims the keys `first..end` concurrently and returns those that were accepted.
    pub async fn claim_all(&self, first: u64, end: u64) -> Vec<u64> {
        let claims =
            (first..end).map(|key| async move { self.claim(key).await.is_ok().then_some(key) });
        futures::future::join_all(claims).await.into_iter().flatten().collect()
    }

    /// Returns those of `keys` that the log holds no claim of.
    pub async fn missing(&self, keys: &[u64]) -> Vec<u64> {
        let mut missing = Vec::new();
        for key in keys {
            let query = query::Query::Claim { key: claim_key(*key) };
            let answer: query::Answer =
                self.client.query(&branch(), &query, TIMEOUT).await.unwrap();
            if !matches!(answer, query::Answer::Claim(Some(_))) {
                missing.push(*key);
            }
        }
        missing
    }
}

fn branch() -> name::Branch {
    name::Branch::from(BRANCH)
}

fn claim_key(key: u64) -> claim::Key {
    claim::Key {
        service: name::Service::from("inkmind"),
        organisation: name::Organisation::from("library"),
        key: key.to_string(),
    }
}

fn peer(settings: &instance::Instance) -> transport::Peer {
    transport::Peer {
        instance: name::Instance(settings.name.clone()),
        branches: vec![branch()],
        link: Arc::new(Link::new(settings.peers_listen)),
    }
}
