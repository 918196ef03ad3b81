//! A small weight store whose bandwidth is shared equally by all loads in progress.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use common::cancel;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::{net::TcpListener, time};
use wire::target::Ending;

use crate::http;

const FETCH_TIMEOUT: Duration = Duration::from_secs(300);
const TICK: Duration = Duration::from_millis(10);

/// A running weight store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    load: Duration,
    active: Arc<AtomicU32>,
    peak: Arc<AtomicU32>,
}

impl Store {
    /// Starts a store on the current runtime; a load that has the whole bandwidth takes `load`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it can't listen.
    pub async fn start(load: Duration, token: cancel::Token) -> io::Result<Store> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let store = Store {
            address: listener.local_addr()?,
            load,
            active: Arc::default(),
            peak: Arc::default(),
        };
        tokio::spawn(http::serve(listener, token, store.clone()));
        Ok(store)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Highest number of loads that ran at once so far.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Relaxed)
    }
}

impl http::Handler for Store {
    async fn handle(&self, _: Request<Incoming>) -> Result<Response<http::Body>, http::Error> {
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(active, Ordering::Relaxed);
        let mut left = self.load;
        while !left.is_zero() {
            time::sleep(TICK).await;
            left = left.saturating_sub(TICK / self.active.load(Ordering::Relaxed).max(1));
        }
        self.active.fetch_sub(1, Ordering::Relaxed);
        Ok(http::text(StatusCode::OK, ""))
    }
}

/// Fetches a model's weights; returns [`Ending::Done`] or [`Ending::Failed`].
pub(crate) async fn fetch(store: SocketAddr, model: &str) -> Ending {
    let Ok(request) = http::get(&format!("/weights/{model}")) else {
        return Ending::Failed;
    };
    match http::call(store, request, FETCH_TIMEOUT).await {
        Ok(response) if response.status == StatusCode::OK => Ending::Done,
        _ => Ending::Failed,
    }
}
