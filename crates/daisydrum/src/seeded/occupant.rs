//! Asks a target in service whether it is still there, before an announcement with its address replaces it.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use common::{clock::Moment, collections::Map, name};
use fleet::registry::Target;
use gateway::connection::Connection;
use http_body_util::Full;
use hyper::{Request, header::HOST};
use platform::health;
use tokio::time;

/// Longest wait for the answer; the announcement waits for it, and must be answered within a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an answer holds, so that announcements in series cost one check.
const ANSWER_TTL: Duration = Duration::from_secs(1);
/// Answers that are kept.
const MAX_ANSWERS: usize = 1_024;

/// Whether a target answered a check, and when.
#[derive(Clone, Debug)]
struct Answer {
    target: name::Target,
    is_there: bool,
    at: Moment,
}

/// The last answers by address; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupants(Arc<Mutex<Map<SocketAddr, Answer>>>);

impl Occupants {
    /// Whether a target answers the health check at its address under its own name. Nothing else shows that it is there: a
    /// successor refuses the check, and one that is busy or silent may have ended.
    pub(crate) async fn is_there(
        &self,
        target: &Target,
        path: &str,
        source: Option<IpAddr>,
    ) -> bool {
        if let Some(known) = self.known(target) {
            return known;
        }
        let check = time::timeout(ANSWER_TIMEOUT, check(target, path, source));
        let is_there = check.await.ok().flatten().unwrap_or(false);
        let answer = Answer { target: target.name.clone(), is_there, at: Moment::now() };
        let mut answers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if answers.len() >= MAX_ANSWERS {
            answers.clear();
        }
        answers.insert(target.address, answer);
        is_there
    }

    fn known(&self, target: &Target) -> Option<bool> {
        let answers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = answers.get(&target.address).filter(|answer| answer.target == target.name)?;
        (Moment::now().since(answer.at) < ANSWER_TTL).then_some(answer.is_there)
    }
}

async fn check(target: &Target, path: &str, source: Option<IpAddr>) -> Option<bool> {
    let mut connection = Connection::open(target.address, source).await.ok()?;
    let mut request = Request::get(path)
        .header(HOST, target.address.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    request.headers_mut().extend(health::headers(&target.name));
    let response = connection.send(request).await.ok()?;
    Some(health::is_answer_of(&target.name, response.status(), response.headers()))
}
