//! Answers operators' calls on the branches.

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

/// Longest wait for the log.
const LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for another instance's versions.
const PEER_LIMIT: Duration = Duration::from_secs(1);
const DEFAULT_HISTORY: usize = 20;

/// What operators' calls are answered from.
#[derive(Clone, Debug)]
pub struct Api<A> {
    /// The instance.
    pub context: Context,
    /// The replicated logs.
    pub authority: A,
    /// The declarations in force here.
    pub spread: Synchronizer,
}

impl<A: replicated_log::Client> Api<A> {
    /// Answers a call, if its path is one of the branches'.
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
        let asks = names.into_iter().map(|branch| async move {
            match self.authority.query(&branch, Query::Summary, LIMIT).await {
                Ok(Answer::Summary(summary)) => {
                    branch::Branch { branch, summary: Some(summary), problem: None }
                }
                Ok(_) => branch::Branch { branch, summary: None, problem: None },
                Err(failure) => {
                    branch::Branch { branch, summary: None, problem: Some(failure.to_string()) }
                }
            }
        });
        http::json(StatusCode::OK, &self.context.runtime.block_on(future::join_all(asks)))
    }

    /// Asks every instance of the settings for its versions at once.
    fn instances(&self) -> Response<Body> {
        let asks = self.context.peers.iter().map(|peer| async {
            let call = async |client: &PeerClient, context| client.in_force(context).await;
            branch::Instance {
                instance: peer.instance.clone(),
                data_centre: peer.data_centre.clone(),
                in_force: peer.link.call(PEER_LIMIT, call).await.ok(),
            }
        });
        let mut instances = self.context.runtime.block_on(future::join_all(asks));
        instances.push(branch::Instance {
            instance: self.context.identity.instance.clone(),
            data_centre: self.context.identity.data_centre.clone(),
            in_force: Some(self.spread.in_force()),
        });
        http::json(StatusCode::OK, &instances)
    }

    fn declarations(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let branch = branch_of(request)?;
        let version = match http::parameter(request.uri(), "version").map(str::parse) {
            None => None,
            Some(Ok(version)) => Some(version),
            Some(Err(_)) => return Err(bad("`version` is no number")),
        };
        let query = version.map_or(Query::Content, |version| Query::ContentAt { version });
        match self.query(&branch, query)? {
            Answer::Content(version) => Ok(http::json(StatusCode::OK, &version)),
            Answer::NoVersion { oldest } => {
                let error = format!("the version is not kept; the oldest is {oldest}");
                Err(Refusal::Problem(StatusCode::NOT_FOUND, error))
            }
            _ => Err(unexpected()),
        }
    }

    fn history(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let branch = branch_of(request)?;
        let limit = http::parameter(request.uri(), "limit").and_then(|limit| limit.parse().ok());
        let query = Query::History { limit: limit.unwrap_or(DEFAULT_HISTORY) };
        match self.query(&branch, query)? {
            Answer::History(records) => Ok(http::json(StatusCode::OK, &records)),
            _ => Err(unexpected()),
        }
    }

    fn request(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let branch = branch_of(request)?;
        let id = http::parameter(request.uri(), "id").ok_or_else(|| bad("`id` is missing"))?;
        match self.query(&branch, Query::Request { id: String::from(id) })? {
            Answer::Request(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected()),
        }
    }

    fn change(&self, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut change: branch::Change = http::read_json(request).map_err(|error| bad(&error))?;
        change.request.author.wall_ms = clock::unix_ms();
        self.check(&change)?;
        match self.submit(&change.branch, Command::Declare(change.request))? {
            Reply::Declaration(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected()),
        }
    }

    fn drain(&self, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut drain: branch::Drain = http::read_json(request).map_err(|error| bad(&error))?;
        drain.set.author.wall_ms = clock::unix_ms();
        match self.submit(&drain.branch, Command::Drain(drain.set))? {
            Reply::Drain(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected()),
        }
    }

    fn dissolve(&self, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut step: branch::Step = http::read_json(request).map_err(|error| bad(&error))?;
        step.step.author.wall_ms = clock::unix_ms();
        match self.submit(&step.branch, Command::Dissolve(step.step))? {
            Reply::Dissolution(reply) => Ok(http::json(StatusCode::OK, &reply)),
            _ => Err(unexpected()),
        }
    }

    /// Checks the tree that a change leads to. A change of another base is left to the log, which knows the
    /// winner and the answers of earlier requests.
    fn check(&self, change: &branch::Change) -> Result<(), Refusal> {
        let Answer::Content(version) = self.query(&change.branch, Query::Content)? else {
            return Err(unexpected());
        };
        if version.version != change.request.base {
            return Ok(());
        }
        let content = match &change.request.change {
            Change::Apply(delta) => {
                let mut content = version.content;
                // A delta that doesn't fit is refused by the log.
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
            Change::Adopt { .. } => return Err(bad("the defaults are adopted by the system")),
        };
        let faults = faults(self.spread.watch().borrow().tree(), &change.branch, content);
        if faults.is_empty() {
            return Ok(());
        }
        Err(Refusal::Faults(faults))
    }

    fn query(&self, branch: &name::Branch, query: Query) -> Result<Answer, Refusal> {
        self.known(branch)?;
        let answer = self.context.runtime.block_on(self.authority.query(branch, query, LIMIT));
        answer.map_err(|failure| failed(&failure))
    }

    fn submit(&self, branch: &name::Branch, command: Command) -> Result<Reply, Refusal> {
        self.known(branch)?;
        let reply = self.context.runtime.block_on(self.authority.submit(branch, command, LIMIT));
        reply.map_err(|failure| failed(&failure))
    }

    fn known(&self, branch: &name::Branch) -> Result<(), Refusal> {
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

/// The faults of the tree in which a branch has new content. A partner answers for its own files, the venture for
/// all that inherit from it.
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
        .ok_or_else(|| bad("`branch` is missing"))
}

/// Why a call is refused.
#[derive(Clone, Debug)]
enum Refusal {
    /// One problem, with the status that tells of it.
    Problem(StatusCode, String),
    /// The declarations have faults.
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

fn bad(problem: &str) -> Refusal {
    Refusal::Problem(StatusCode::BAD_REQUEST, String::from(problem))
}

fn unexpected() -> Refusal {
    Refusal::Problem(StatusCode::BAD_GATEWAY, String::from("the replica gave another answer"))
}

/// 503 when nothing was accepted, 504 when the outcome is not known.
fn failed(failure: &Error) -> Refusal {
    let status = match failure {
        Error::NotAccepted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Error::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Refusal::Problem(status, failure.to_string())
}
