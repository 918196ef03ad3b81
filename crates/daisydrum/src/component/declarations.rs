//! Puts the tree into force on this instance, adopts the venture's defaults and counts the logs' time.

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

/// Longest wait for the log.
const LIMIT: Duration = Duration::from_secs(2);
/// Pause between two looks at what has to be adopted or counted.
const INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two looks at whether the declarations may be put into force.
const READY_INTERVAL: Duration = Duration::from_millis(50);
/// Name of the system where it is the author of a version.
const SYSTEM: &str = "system";

/// Follows the declarations in force and indexes them for the request path.
pub async fn follow(
    synchronizer: Synchronizer,
    directory: watch::Sender<Arc<Directory>>,
    context: Context,
) {
    // Without replicated logs the tree of the settings' folder stays in force.
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

/// Adopts the venture's defaults on a partner's branch that this instance keeps a replica of.
pub async fn adopt<A: replicated_log::Client>(
    synchronizer: Synchronizer,
    authority: A,
    branch: name::Branch,
    context: Context,
) {
    loop {
        tokio::select! {
            () = context.end.cancelled() => return,
            () = time::sleep(INTERVAL) => {}
        }
        let view = Arc::clone(&synchronizer.watch().borrow());
        let Some(request) = adoption(&view, &branch) else { continue };
        let version = match &request.change {
            Change::Adopt { venture_version, .. } => *venture_version,
            _ => 0,
        };
        let submitted = authority.submit(&branch, Command::Declare(request), LIMIT).await;
        match submitted {
            Ok(_) => info!(context.log, "venture's defaults adopted"; "branch" => %branch,
                "venture_version" => version),
            Err(failure) => warn!(context.log, "venture's defaults not adopted yet";
                "branch" => %branch, "cause" => %failure),
        }
    }
}

/// The request that brings a branch to the venture's version in force, if it lags and the result is sound.
///
/// The id is made of both versions, so that all replicas ask for the same and one of them gets it done.
fn adoption(view: &View, branch: &name::Branch) -> Option<Request> {
    let venture = &view.branches().get(&name::Branch::from(check::VENTURE_BRANCH))?.declarations;
    let own = &view.branches().get(branch)?.declarations;
    if venture.version <= own.venture_version {
        return None;
    }
    let mut content = own.content.clone();
    content.venture = venture.content.venture.clone();
    let sound = own.version == 0 || branch_api::faults(view.tree(), branch, content).is_empty();
    sound.then(|| Request {
        author: Author {
            request: format!("adopt-{}-{}", venture.version, own.version),
            operator: String::from(SYSTEM),
            wall_ms: clock::unix_ms(),
        },
        base: own.version,
        change: Change::Adopt {
            venture_version: venture.version,
            venture: venture.content.venture.clone(),
        },
    })
}

/// Counts the time of a branch's log while leases or claims wait for it.
pub async fn count_time<A: replicated_log::Client>(
    authority: A,
    branch: name::Branch,
    context: Context,
) {
    let mut last = None;
    loop {
        let read = read_time(&authority, &branch).await;
        // Counted from after the answer, so that no time is counted that passed before it.
        let read_at = Moment::now();
        tokio::select! {
            () = context.end.cancelled() => return,
            () = time::sleep(INTERVAL) => {}
        }
        // Where another instance counts, this one only watches.
        let counted_elsewhere = read.is_some() && read != last && last.is_some();
        last = read;
        let Some(from_ms) = read else { continue };
        if counted_elsewhere {
            continue;
        }
        let elapsed_ms =
            u64::try_from(Moment::now().since(read_at).as_millis()).unwrap_or(u64::MAX);
        let advance = Command::Advance(Advance { from_ms, elapsed_ms });
        let _ = authority.submit(&branch, advance, LIMIT).await;
        last = None;
    }
}

async fn read_time<A: replicated_log::Client>(authority: &A, branch: &name::Branch) -> Option<u64> {
    match authority.query(branch, Query::Time, LIMIT).await {
        Ok(Answer::Time(time)) if time.needed == Needed::Yes => Some(time.now_ms),
        _ => None,
    }
}
