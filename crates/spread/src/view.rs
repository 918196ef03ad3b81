//! The declarations that an instance holds. Their versions never decrease.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use common::{clock::Moment, name};
use control::query::{Changes, Declarations, Revision};
use derive_more::Display;
use settings::{check, delta, tree::Tree};
use wire::spread::{Update, Version};

/// Revisions of a branch that are kept for other instances; an instance that is further behind gets a snapshot.
const MAX_REVISIONS: usize = 64;

/// Outcome of applying an update.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// The view has a higher version now.
    Advanced,
    /// The view already had this version.
    Unchanged,
    /// The update is older than the view and was ignored.
    Stale,
    /// The update does not continue the version held; a snapshot is needed.
    #[display("mismatch: {_0}")]
    Mismatch(String),
}

/// One branch as an instance holds it.
#[derive(Clone, Debug, Default)]
pub struct HeldBranch {
    /// The declarations.
    pub declarations: Arc<Declarations>,
    /// When the log was last known to have no higher version; `None` if never.
    pub confirmed: Option<Moment>,
    revisions: Arc<VecDeque<Revision>>,
}

/// All branches as an instance holds them.
#[derive(Clone, Debug, Default)]
pub struct View {
    branches: BTreeMap<name::Branch, HeldBranch>,
}

impl View {
    /// The branches.
    pub fn branches(&self) -> &BTreeMap<name::Branch, HeldBranch> {
        &self.branches
    }

    /// The version held of a branch; 0 if none is held.
    pub fn version(&self, branch: &name::Branch) -> u64 {
        self.branches.get(branch).map_or(0, |branch| branch.declarations.version)
    }

    /// The versions held of all branches.
    pub fn versions(&self) -> Vec<Version> {
        self.branches
            .iter()
            .map(|(branch, held)| Version {
                branch: branch.clone(),
                version: held.declarations.version,
            })
            .collect()
    }

    /// Whether the view has a higher version than `have` of the same branch.
    pub fn is_ahead(&self, have: &Version) -> bool {
        self.version(&have.branch) > have.version
    }

    /// The update that brings a holder of `have` to this view's version of the branch.
    pub fn update_since(&self, have: &Version, now: Moment) -> Update {
        let held = self.branches.get(&have.branch).cloned().unwrap_or_default();
        let age = held.confirmed.map(|confirmed| now.since(confirmed));
        Update {
            branch: have.branch.clone(),
            version: held.declarations.version,
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            changes: held.changes(have.version),
        }
    }

    /// Applies an update that arrived at `now`.
    pub fn apply(&mut self, update: Update, now: Moment) -> Outcome {
        let held = self.branches.entry(update.branch).or_default();
        let current = held.declarations.version;
        let outcome = match update.changes {
            _ if update.version < current => return Outcome::Stale,
            Changes::None => Outcome::Unchanged,
            Changes::Deltas(revisions) => held.append(revisions),
            Changes::Snapshot(declarations) if declarations.version > current => {
                held.declarations = Arc::from(declarations);
                held.revisions = Arc::default();
                Outcome::Advanced
            }
            Changes::Snapshot(_) => Outcome::Unchanged,
        };
        let confirmed = update.age_ms.map(|age_ms| now - Duration::from_millis(age_ms));
        if held.declarations.version == update.version {
            held.confirmed = held.confirmed.max(confirmed);
        }
        outcome
    }

    /// Installs a branch from an updated copy of the view, unless this view already has a higher version of it.
    pub fn install(&mut self, branch: &name::Branch, held: HeldBranch) {
        if held.declarations.version >= self.version(branch) {
            self.branches.insert(branch.clone(), held);
        }
    }

    /// Installs declarations that were stored on disk, without confirmation by the log.
    pub fn restore(&mut self, branch: &name::Branch, declarations: Declarations) {
        let held = HeldBranch { declarations: Arc::new(declarations), ..HeldBranch::default() };
        self.install(branch, held);
    }

    /// The tree of settings that the declarations of all branches make.
    ///
    /// If partners have adopted different versions of the venture's defaults, each partner's defaults include the
    /// ones that it has adopted, and the venture's own part of the tree is empty.
    pub fn tree(&self) -> Tree {
        let mut tree = Tree::default();
        let partners =
            || self.branches.iter().filter(|(branch, _)| branch.0 != check::VENTURE_BRANCH);
        let mut ventures = partners().map(|(_, held)| &held.declarations.content.venture);
        let first = ventures.next();
        let equal = ventures.all(|venture| Some(venture) == first);
        let root = self.branches.get(&name::Branch::from(check::VENTURE_BRANCH));
        let venture = root.map(|root| &root.declarations.content.venture);
        let shared = if equal { first.or(venture) } else { None };
        tree.venture = shared.cloned().unwrap_or_default();
        for (branch, held) in partners() {
            let content = &held.declarations.content;
            let mut declared = content.branch.clone();
            if shared.is_none() {
                let mut defaults = content.venture.defaults.clone();
                settings::tree::merge(&mut defaults, &declared.partner.defaults);
                declared.partner.defaults = defaults;
            }
            if held.declarations.version > 0 {
                tree.partners.insert(name::Partner(branch.0.clone()), declared);
            }
        }
        tree
    }
}

impl HeldBranch {
    fn changes(&self, since: u64) -> Changes {
        let current = self.declarations.version;
        if since >= current {
            return Changes::None;
        }
        let kept = self.revisions.iter().filter(|revision| revision.version > since).count() as u64;
        // A requester that has nothing, or had a mismatch, states version 0 and gets a snapshot.
        if since > 0 && kept == current - since {
            let revisions = self.revisions.iter().filter(|revision| revision.version > since);
            return Changes::Deltas(revisions.cloned().collect());
        }
        Changes::Snapshot(Box::new(Declarations::clone(&self.declarations)))
    }

    fn append(&mut self, revisions: Vec<Revision>) -> Outcome {
        let mut declarations = Declarations::clone(&self.declarations);
        let mut kept = VecDeque::clone(&self.revisions);
        for revision in
            revisions.into_iter().filter(|revision| revision.version > self.declarations.version)
        {
            if revision.version != declarations.version + 1 {
                return Outcome::Mismatch(format!(
                    "version {} can't follow version {}",
                    revision.version, declarations.version
                ));
            }
            if let Err(mismatch) = delta::apply(&mut declarations.content, &revision.delta) {
                return Outcome::Mismatch(mismatch.to_string());
            }
            declarations.version = revision.version;
            declarations.venture_version = revision.venture_version;
            kept.push_back(revision);
        }
        if declarations.version == self.declarations.version {
            return Outcome::Unchanged;
        }
        let surplus = kept.len().saturating_sub(MAX_REVISIONS);
        kept.drain(..surplus);
        self.declarations = Arc::new(declarations);
        self.revisions = Arc::new(kept);
        Outcome::Advanced
    }
}
