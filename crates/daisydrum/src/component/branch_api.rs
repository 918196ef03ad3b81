//! Handles operators' HTTP calls on branches: their declarations, history, drains and dissolution.

use std::time::Duration;

use common::{clock, name};
use control::{
    command::Command,
    declaration::Change,
    query::{Answer, Declarations, Query},
    reply::Reply,
};
use futures::future;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use settings::{
    check, delta,
    error::Fault,
    tree::{self, Tree},
};
use spread::{
    replicated_log::{self, Error},
    synchronizer::Synchronizer,
    upstream,
};
use wire::{operator::branch, peer::PeerClient};

use crate::{context::Context, http};

/// Longest wait for the replicated log's reply.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the versions in force on another instance.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Records of a history listed where the request gives no `limit`.
const DEFAULT_HISTORY_RECORDS: usize = 20;

/// State and handles that operators' calls on branches use.
#[derive(Clone, Debug)]
pub struct Api<A> {
    /// Context of the instance.
    pub context: Context,
    /// Client of the replicated logs.
    pub logs: A,
    /// Synchronizes the declarations of this instance.
    pub synchronizer: Synchronizer,
}

impl<A: replicated_log::Client> Api<A> {
    /// Handles a request to a path of branches; `None` for other paths and methods.
    pub fn handle(&self, request: &mut Request<Body>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let result = match (&method, path.as_str()) {
            (&Method::GET, branch::BRANCHES_PATH) => Ok(self.branches()),
            (&Method::GET, branch::INSTANCES_PATH) => Ok(self.instances()),
            (&Method::GET, branch::DECLARATIONS_PATH) => self.declarations(request),
            (&Method::GET, branch::HISTORY_PATH) => self.history(request),
            (&Method::GET, branch::REQUESTS_PATH) => self.request(request),
            (&Method::POST, branch::DECLARATIONS_PATH) => self.change(request),
            (&Method::POST, branch::DRAINS_PATH) => self.drain(request),
            (&Method::POST, branch::DISSOLUTION_PATH) => self.dissolve(request),
            _ => return None,
        };
        Some(result.unwrap_or_else(Response::from))
    }

    fn branches(&self) -> Response<Body> {
        let names = upstream::branches(&self.context.settings);
        let calls = names.into_iter().map(|branch| async move {
            match self.logs.query(&branch, Query::Summary, LOG_TIMEOUT).await {
                Ok(Answer::Summary(summary)) => {
                    branch::Branch { branch, summary: Some(summary), problem: None }
                }
                Ok(_) => branch::Branch { branch, summary: None, problem: None },
                Err(failure) => {
                    branch::Branch { branch, summary: None, problem: Some(failure.to_string()) }
                }
            }
        });
        http::json(StatusCode::OK, &self.context.runtime.block_on(future::join_all(calls)))
    }

    /// Lists the versions in force on every instance; peers are asked concurrently.
    fn instances(&self) -> Response<Body> {
        let calls = self.context.peers.iter().map(|peer| async {
            let call = async |client: &PeerClient, context| client.in_force(context).await;
            branch::Instance {
                instance: peer.instance.clone(),
                data_centre: peer.data_centre.clone(),
                in_force: peer.link.call(PEER_TIMEOUT, call).await.ok(),
            }
        });
        let mut instances = self.context.runtime.block_on(future::join_all(calls));
        instances.push(branch::Instance {
            instance: self.context.identity.instance.clone(),
            data_centre: self.context.identity.data_centre.clone(),
            in_force: Some(self.synchronizer.in_force()),
        });
        http::json(StatusCode::OK, &instances)
    }

    fn declarations(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let branch = branch_of(request)?;
        let version = match http::parameter(request.uri(), "version").map(str::parse) {
            None => None,
            Some(Ok(version)) => Some(version),
            Some(Err(_)) => return Err(bad_request("`version` is not a whole number")),
        };
        let query = version.map_or(Query::Content, |version| Query::ContentAt { version });
        match self.query(&branch, query)? {
            Answer::Content(version) => Ok(http::json(StatusCode::OK, &version)),
            Answer::NoVersion { oldest } => {
                let error =
                    format!("the log keeps no such version; the oldest it keeps is {oldest}");
                Err(Refusal::Problem(StatusCode::NOT_FOUND, error))
            }
            _ => Err(unexpected_answer()),
        }
    }

    fn history(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let branch = branch_of(request)?;
        let limit = http::parameter(request.uri(), "limit").and_then(|limit| limit.parse().ok());
        let query = Query::History { limit: limit.unwrap_or(DEFAULT_HISTORY_RECORDS) };
        match self.query(&branch, query)? {
            Answer::History(records) => Ok(http::json(StatusCode::OK, &records)),
            _ => Err(unexpected_answer()),
        }
    }

    fn request(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let branch = branch_of(request)?;
        let id =
            http::parameter(request.uri(), "id").ok_or_else(|| bad_request("`id` is missing"))?;
        match self.query(&branch, Query::Request { id: String::from(id) })? {
            Answer::Request(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected_answer()),
        }
    }

    fn change(&self, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut change: branch::Change =
            http::read_json(request).map_err(|error| bad_request(&error))?;
        change.request.author.wall_ms = clock::unix_ms();
        self.check(&change)?;
        match self.submit(&change.branch, Command::Declare(change.request))? {
            Reply::Declaration(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected_answer()),
        }
    }

    fn drain(&self, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut drain: branch::Drain =
            http::read_json(request).map_err(|error| bad_request(&error))?;
        drain.set.author.wall_ms = clock::unix_ms();
        match self.submit(&drain.branch, Command::Drain(drain.set))? {
            Reply::Drain(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected_answer()),
        }
    }

    fn dissolve(&self, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut step: branch::Step =
            http::read_json(request).map_err(|error| bad_request(&error))?;
        step.step.author.wall_ms = clock::unix_ms();
        match self.submit(&step.branch, Command::Dissolve(step.step))? {
            Reply::Dissolution(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected_answer()),
        }
    }

    /// Validates the tree that a change would produce. A change with an outdated base passes: the log itself
    /// refuses it with the version that won, or repeats the reply if it has applied the request before.
    fn check(&self, change: &branch::Change) -> Result<(), Refusal> {
        let Answer::Content(version) = self.query(&change.branch, Query::Content)? else {
            return Err(unexpected_answer());
        };
        if version.version != change.request.base {
            return Ok(());
        }
        let content = match &change.request.change {
            Change::Apply(delta) => {
                let mut content = version.content;
                // The log refuses a delta that doesn't apply, with the reason.
                if delta::apply(&mut content, delta).is_err() {
                    return Ok(());
                }
                content
            }
            Change::Rollback { to } => {
                match self.query(&change.branch, Query::ContentAt { version: *to })? {
                    Answer::Content(earlier) => Declarations::clone(&earlier).content,
                    _ => return Ok(()),
                }
            }
            Change::Adopt { .. } => {
                return Err(bad_request("only the system adopts the venture's defaults"));
            }
        };
        let faults = faults(self.synchronizer.watch().borrow().tree(), &change.branch, content);
        if faults.is_empty() {
            return Ok(());
        }
        Err(Refusal::Faults(faults))
    }

    fn query(&self, branch: &name::Branch, query: Query) -> Result<Answer, Refusal> {
        self.require_branch(branch)?;
        let answer = self.context.runtime.block_on(self.logs.query(branch, query, LOG_TIMEOUT));
        answer.map_err(|failure| log_failure(&failure))
    }

    fn submit(&self, branch: &name::Branch, command: Command) -> Result<Reply, Refusal> {
        self.require_branch(branch)?;
        let reply = self.context.runtime.block_on(self.logs.submit(branch, command, LOG_TIMEOUT));
        reply.map_err(|failure| log_failure(&failure))
    }

    fn require_branch(&self, branch: &name::Branch) -> Result<(), Refusal> {
        let known = upstream::branches(&self.context.settings);
        if known.contains(branch) {
            return Ok(());
        }
        let names: Vec<String> = known.into_iter().map(|branch| branch.0).collect();
        let error =
            format!("no replicated log of branch `{branch}`; there are: {}", names.join(", "));
        Err(Refusal::Problem(StatusCode::NOT_FOUND, error))
    }
}

/// Validates the tree in which a branch has new content and returns its faults.
///
/// For a partner's branch these are the faults in the partner's own files and in the venture's file; for the venture's
/// branch they are those of the whole tree, since all partners inherit from it.
pub fn faults(mut tree: Tree, branch: &name::Branch, content: delta::Content) -> Vec<Fault> {
    tree.venture = content.venture;
    if branch.0 == check::VENTURE_BRANCH {
        return check::declared(&tree);
    }
    let partner = name::Partner(branch.0.clone());
    let own = tree::partner_file(&partner);
    let folder = own.split('/').next().map(|folder| format!("{folder}/")).unwrap_or_default();
    tree.partners.insert(partner, content.branch);
    let mut faults = check::declared(&tree);
    faults.retain(|fault| fault.file.starts_with(&folder) || fault.file == tree::VENTURE_FILE);
    faults
}

fn branch_of(request: &Request<Body>) -> Result<name::Branch, Refusal> {
    http::parameter(request.uri(), "branch")
        .map(name::Branch::from)
        .ok_or_else(|| bad_request("`branch` is missing"))
}

/// Reason why a call is refused.
#[derive(Clone, Debug)]
enum Refusal {
    /// One problem, with the HTTP status to respond with.
    Problem(StatusCode, String),
    /// The tree would be invalid; the response lists each fault.
    Faults(Vec<Fault>),
}

impl From<Refusal> for Response<Body> {
    fn from(refusal: Refusal) -> Response<Body> {
        match refusal {
            Refusal::Problem(status, error) => http::refuse(status, error),
            Refusal::Faults(faults) => {
                http::json(StatusCode::UNPROCESSABLE_ENTITY, &branch::Faults { faults })
            }
        }
    }
}

fn bad_request(problem: &str) -> Refusal {
    Refusal::Problem(StatusCode::BAD_REQUEST, String::from(problem))
}

fn unexpected_answer() -> Refusal {
    Refusal::Problem(
        StatusCode::BAD_GATEWAY,
        String::from("the replica sent a reply of another kind than requested"),
    )
}

/// Maps a failure of the log to 503 if nothing was accepted, and to 504 if the outcome is unknown.
fn log_failure(failure: &Error) -> Refusal {
    let status = match failure {
        Error::NotAccepted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Error::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Refusal::Problem(status, failure.to_string())
}
