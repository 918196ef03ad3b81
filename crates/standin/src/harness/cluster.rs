//! Several real daemons in data centres, with a fault proxy on each link from one to another.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use common::{cancel, name};
use hyper::header::{AUTHORIZATION, HeaderValue};
use settings::instance;

use super::{daemon, folder::Folder, tree, wait};
use crate::{
    engine, http, plain,
    proxy::{Conditions, Proxy},
};

const KEYS_TIMEOUT: Duration = Duration::from_secs(2);

/// A data centre of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct DataCentre {
    /// Its name.
    pub name: &'static str,
    /// Number of daemons in it.
    pub daemons: usize,
    /// Number of these that keep replicas of all branches.
    pub replicas: usize,
}

/// The proxied link from one daemon to another, by their data centres.
#[derive(Debug)]
struct Link {
    from: String,
    to: String,
    proxy: Proxy,
}

/// Running daemons, which are killed when this is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The daemons, in the order of their data centres.
    pub daemons: Vec<daemon::Daemon>,
    links: Vec<Link>,
    token: cancel::Token,
    tree: PathBuf,
    _folder: Folder,
}

impl Cluster {
    /// Starts daemons of `binary`.
    ///
    /// If no daemon keeps replicas, each loads the tree at its start; otherwise the tree has to be applied.
    pub async fn start(binary: &str, name: &str, data_centres: &[DataCentre]) -> Cluster {
        let folder = Folder::new(name);
        let names: Vec<&str> = data_centres.iter().map(|data_centre| data_centre.name).collect();
        let tree = tree::write(folder.path(), &names);
        let mut instances = instances(folder.path(), &tree, data_centres);
        daemon::connect(&mut instances);
        let links = connect_through_proxies(&mut instances).await;
        let start = |settings| daemon::Daemon::start(Path::new(binary), folder.path(), settings);
        let daemons: Vec<daemon::Daemon> = instances.into_iter().map(start).collect();
        Cluster { daemons, links, token: cancel::Token::new(), tree, _folder: folder }
    }

    /// Waits until all daemons accept callers and know the keys of the tree, which takes a while to reach all of
    /// them once it is accepted.
    pub async fn until_ready(&self) {
        for daemon in &self.daemons {
            daemon.until_ready().await;
            wait::until("the daemon knows the keys", async || knows_keys(daemon.callers()).await)
                .await;
        }
    }

    /// Folder of the tree of declarations.
    pub fn tree(&self) -> &Path {
        &self.tree
    }

    /// Where callers connect, by daemon.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(daemon::Daemon::callers).collect()
    }

    /// The control addresses of one data centre's daemons.
    pub fn control(&self, data_centre: &str) -> Vec<SocketAddr> {
        let inside =
            self.daemons.iter().filter(|daemon| daemon.settings().data_centre == data_centre);
        inside.map(daemon::Daemon::control).collect()
    }

    /// Sets the conditions of all links into and out of a data centre.
    pub fn set(&self, data_centre: &str, into: Conditions, out_of: Conditions) {
        for link in &self.links {
            match (link.from == data_centre, link.to == data_centre) {
                (false, true) => link.proxy.set(into),
                (true, false) => link.proxy.set(out_of),
                _ => {}
            }
        }
    }

    /// Permanently stops delivery on all open connections between daemons, without a reset.
    pub fn silence_open(&self) {
        for link in &self.links {
            link.proxy.silence_open();
        }
    }

    /// Options of an engine of `partner` that announces itself to its data centre's daemons.
    pub fn engine(&self, name: &str, partner: tree::Partner, data_centre: &str) -> engine::Options {
        let control = self.control(data_centre);
        let mut options = engine::Options::new(name, partner.name, partner.model_service, control);
        options.models = vec![String::from(partner.model)];
        options.data_centre = name::DataCentre::from(data_centre);
        options.speed.scale = TIME_SCALE;
        options.announcements.seed = common::piece::hash(name);
        options
    }

    /// Options of a plain service of `partner` that announces itself to its data centre's daemons.
    pub fn plain(&self, name: &str, partner: tree::Partner, data_centre: &str) -> plain::Options {
        let control = self.control(data_centre);
        plain::Options::new(name, partner.name, partner.plain_service, data_centre, control)
    }

    /// Starts an engine that ends with the cluster.
    ///
    /// # Panics
    ///
    /// Panics when it can't listen.
    pub async fn start_engine(&self, options: engine::Options) -> engine::Engine {
        let engine = engine::Engine::start(options, self.token.child_token()).await;
        engine.expect("a loopback port is free")
    }

    /// Starts a plain service that ends with the cluster.
    ///
    /// # Panics
    ///
    /// Panics when it can't listen.
    pub async fn start_plain(&self, options: plain::Options) -> plain::Service {
        let plain = plain::Service::start(options, self.token.child_token()).await;
        plain.expect("a loopback port is free")
    }

    /// Waits until each daemon knows at least `count` targets.
    pub async fn until_targets(&self, count: usize) {
        for daemon in &self.daemons {
            wait::until("the daemons know the targets", async || {
                daemon.status().await.is_some_and(|status| status.targets.len() >= count)
            })
            .await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// Factor on the durations of stand-ins, so that tests run fast.
const TIME_SCALE: f64 = 0.2;

fn instances(folder: &Path, tree: &Path, data_centres: &[DataCentre]) -> Vec<instance::Instance> {
    let mut instances = Vec::new();
    for data_centre in data_centres {
        for number in 0..data_centre.daemons {
            let name = format!("{}-{}", data_centre.name, number + 1);
            let mut settings = daemon::settings(&name, data_centre.name, tree);
            if number < data_centre.replicas {
                keep_replicas(&mut settings, folder);
            }
            instances.push(settings);
        }
    }
    instances
}

fn keep_replicas(settings: &mut instance::Instance, folder: &Path) {
    let data = folder.join(format!("{}-data", settings.name));
    settings.data_folder = Some(data.display().to_string());
    let branches = ["venture", tree::ASSOCIATION.name, tree::INKLEAF.name];
    let replica = |branch: &str| instance::Replica {
        branch: String::from(branch),
        start: instance::Start::Founder,
    };
    settings.replicas = branches.map(replica).to_vec();
}

async fn connect_through_proxies(instances: &mut [instance::Instance]) -> Vec<Link> {
    let mut links = Vec::new();
    for instance in instances {
        for peer in &mut instance.peers {
            let proxy = Proxy::start(peer.address).await.expect("a loopback port is free");
            peer.address = proxy.address();
            links.push(Link {
                from: instance.data_centre.clone(),
                to: peer.data_centre.clone(),
                proxy,
            });
        }
    }
    links
}

async fn knows_keys(callers: SocketAddr) -> bool {
    let Ok(mut request) = http::get("/v1/models") else {
        return false;
    };
    let key = format!("Bearer {}", tree::ASSOCIATION.model_key);
    let key = HeaderValue::from_str(&key).expect("invariant: keys of tests are ASCII");
    request.headers_mut().insert(AUTHORIZATION, key);
    http::call(callers, request, KEYS_TIMEOUT)
        .await
        .is_ok_and(|response| response.status.is_success())
}
