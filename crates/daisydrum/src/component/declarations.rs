//! Puts declarations into force on this instance, adopts the venture's defaults on partners' branches and advances
//! the clocks of replicated logs.

use std::{sync::Arc, time::Duration};

use common::{clock, clock::Moment, name};
use control::{
    command::Command,
    declaration::{Author, Change, Request},
    query::{Answer, Needed, Query},
    time::Advance,
};
use entry::directory::Directory;
use settings::check;
use slog::{info, warn};
use spread::{replicated_log, synchronizer::Synchronizer, upstream, view::View};
use tokio::{sync::watch, time};

use crate::{component::branch_api, context::Context};

/// Longest wait for the replicated log's reply.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks whether defaults must be adopted or a clock advanced.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks whether the declarations are current enough to be put into force.
const READY_INTERVAL: Duration = Duration::from_millis(50);
/// Operator's name in versions that the system itself declares.
const SYSTEM_AUTHOR: &str = "system";

/// Builds the request path's directory from each new view of the declarations, until `context.end`.
///
/// A tree that can't be indexed is logged, and the directory before it stays in force.
pub async fn follow(
    synchronizer: Synchronizer,
    directory: watch::Sender<Arc<Directory>>,
    context: Context,
) {
    // Without replicated logs the tree from the folder in the settings stays in force.
    if upstream::branches(&context.settings).is_empty() {
        synchronizer.set_indexed(&synchronizer.watch().borrow());
        context.end.cancelled().await;
        return;
    }
    while !synchronizer.is_current() {
        tokio::select! {
            () = context.end.cancelled() => return,
            () = time::sleep(READY_INTERVAL) => {}
        }
    }
    let mut views = synchronizer.watch();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let next = directory.borrow().next(&view.tree());
        match next {
            Ok(next) => {
                directory.send_replace(Arc::new(next));
                synchronizer.set_indexed(&view);
            }
            Err(error) => {
                warn!(context.log, "declarations kept from before"; "cause" => %error);
            }
        }
        tokio::select! {
            () = context.end.cancelled() => return,
            changed = views.changed() => if changed.is_err() { return },
        }
    }
}

/// Adopts the venture's defaults on a partner's branch of which this instance keeps a replica, until `context.end`.
pub async fn adopt<A: replicated_log::Client>(
    synchronizer: Synchronizer,
    logs: A,
    branch: name::Branch,
    context: Context,
) {
    loop {
        tokio::select! {
            () = context.end.cancelled() => return,
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        let view = Arc::clone(&synchronizer.watch().borrow());
        let Some(request) = adoption_request(&view, &branch) else { continue };
        let version = match &request.change {
            Change::Adopt { venture_version, .. } => *venture_version,
            _ => 0,
        };
        let submitted = logs.submit(&branch, Command::Declare(request), LOG_TIMEOUT).await;
        match submitted {
            Ok(_) => info!(context.log, "venture's defaults adopted"; "branch" => %branch,
                "venture_version" => version),
            Err(failure) => warn!(context.log, "venture's defaults not adopted yet";
                "branch" => %branch, "cause" => %failure),
        }
    }
}

/// Builds the request that brings a branch to the venture's version in force, if the branch is behind and the
/// resulting tree is valid.
///
/// The request id is made of both versions, so that replicas that submit the same adoption have it applied once.
fn adoption_request(view: &View, branch: &name::Branch) -> Option<Request> {
    let venture = &view.branches().get(&name::Branch::from(check::VENTURE_BRANCH))?.declarations;
    let own = &view.branches().get(branch)?.declarations;
    if venture.version <= own.venture_version {
        return None;
    }
    let mut content = own.content.clone();
    content.venture = venture.content.venture.clone();
    let valid = own.version == 0 || branch_api::faults(view.tree(), branch, content).is_empty();
    valid.then(|| Request {
        author: Author {
            request: format!("adopt-{}-{}", venture.version, own.version),
            operator: String::from(SYSTEM_AUTHOR),
            wall_ms: clock::unix_ms(),
        },
        base: own.version,
        change: Change::Adopt {
            venture_version: venture.version,
            venture: venture.content.venture.clone(),
        },
    })
}

/// Advances the clock of a branch's log while leases or claims depend on it, until `context.end`.
pub async fn advance_clock<A: replicated_log::Client>(
    logs: A,
    branch: name::Branch,
    context: Context,
) {
    let mut last = None;
    loop {
        let read = read_time(&logs, &branch).await;
        // Taken after the reply: time that passed before the clock was read must not be added to it.
        let read_at = Moment::now();
        tokio::select! {
            () = context.end.cancelled() => return,
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        // The clock has moved since the last reading, so another instance advances it; this one only watches.
        let advanced_elsewhere = read.is_some() && read != last && last.is_some();
        last = read;
        let Some(from_ms) = read else { continue };
        if advanced_elsewhere {
            continue;
        }
        let elapsed_ms =
            u64::try_from(Moment::now().since(read_at).as_millis()).unwrap_or(u64::MAX);
        let advance = Command::Advance(Advance { from_ms, elapsed_ms });
        let _ = logs.submit(&branch, advance, LOG_TIMEOUT).await;
        last = None;
    }
}

/// Reads the log's clock; `None` if nothing depends on it or the log can't be reached.
async fn read_time<A: replicated_log::Client>(logs: &A, branch: &name::Branch) -> Option<u64> {
    match logs.query(branch, Query::Time, LOG_TIMEOUT).await {
        Ok(Answer::Time(time)) if time.needed == Needed::Yes => Some(time.now_ms),
        _ => None,
    }
}
