//! The declarations that an instance holds, which never go back to a lower version.

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

/// Changes that an instance keeps to pass on; whoever lags more gets the whole.
const MAX_STEPS: usize = 64;

/// What became of an update.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// The view has a higher version now.
    Advanced,
    /// The view had it already.
    Unchanged,
    /// It is older than the view and was left alone.
    Stale,
    /// It does not follow the view; the whole has to be asked for.
    #[display("mismatch: {_0}")]
    Mismatch(String),
}

/// One branch as an instance holds it.
#[derive(Clone, Debug, Default)]
pub struct Branch {
    /// The declarations.
    pub declarations: Arc<Declarations>,
    /// When the log was last known to have no higher version.
    pub confirmed: Option<Moment>,
    steps: Arc<VecDeque<Revision>>,
}

/// All branches as an instance holds them.
#[derive(Clone, Debug, Default)]
pub struct View {
    branches: BTreeMap<name::Branch, Branch>,
}

impl View {
    /// The branches.
    pub fn branches(&self) -> &BTreeMap<name::Branch, Branch> {
        &self.branches
    }

    /// The version held of a branch; 0 where there is none.
    pub fn version(&self, branch: &name::Branch) -> u64 {
        self.branches.get(branch).map_or(0, |branch| branch.declarations.version)
    }

    /// What the view holds.
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

    /// Answers a pull for one branch.
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

    /// Takes an update that arrived at `now`.
    pub fn apply(&mut self, update: Update, now: Moment) -> Outcome {
        let held = self.branches.entry(update.branch).or_default();
        let own = held.declarations.version;
        let outcome = match update.changes {
            _ if update.version < own => return Outcome::Stale,
            Changes::None => Outcome::Unchanged,
            Changes::Deltas(steps) => held.follow(steps),
            Changes::Snapshot(version) if version.version > own => {
                held.declarations = Arc::from(version);
                held.steps = Arc::default();
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

    /// Puts a branch of a view that took an update in place, unless this one has a higher version already.
    pub fn install(&mut self, branch: &name::Branch, held: Branch) {
        if held.declarations.version >= self.version(branch) {
            self.branches.insert(branch.clone(), held);
        }
    }

    /// Starts from what the disk held.
    pub fn restore(&mut self, branch: &name::Branch, declarations: Declarations) {
        let held = Branch { declarations: Arc::new(declarations), ..Branch::default() };
        self.install(branch, held);
    }

    /// The tree in force.
    ///
    /// Partners whose adopted defaults of the venture differ get them written out, so that each has its own.
    pub fn tree(&self) -> Tree {
        let mut tree = Tree::default();
        let partners =
            || self.branches.iter().filter(|(branch, _)| branch.0 != check::VENTURE_BRANCH);
        let mut ventures = partners().map(|(_, held)| &held.declarations.content.venture);
        let first = ventures.next();
        let equal = ventures.all(|venture| Some(venture) == first);
        let root = self.branches.get(&name::Branch::from(check::VENTURE_BRANCH));
        let own = root.map(|root| &root.declarations.content.venture);
        let shared = if equal { first.or(own) } else { None };
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

impl Branch {
    fn changes(&self, since: u64) -> Changes {
        let own = self.declarations.version;
        if since >= own {
            return Changes::None;
        }
        let kept = self.steps.iter().filter(|step| step.version > since).count() as u64;
        // Who has nothing, or asks anew after a mismatch, gets the whole.
        if since > 0 && kept == own - since {
            let steps = self.steps.iter().filter(|step| step.version > since);
            return Changes::Deltas(steps.cloned().collect());
        }
        Changes::Snapshot(Box::new(Declarations::clone(&self.declarations)))
    }

    fn follow(&mut self, steps: Vec<Revision>) -> Outcome {
        let mut version = Declarations::clone(&self.declarations);
        let mut kept = VecDeque::clone(&self.steps);
        for step in steps.into_iter().filter(|step| step.version > self.declarations.version) {
            if step.version != version.version + 1 {
                return Outcome::Mismatch(format!(
                    "change {} after {}",
                    step.version, version.version
                ));
            }
            if let Err(mismatch) = delta::apply(&mut version.content, &step.delta) {
                return Outcome::Mismatch(mismatch.to_string());
            }
            version.version = step.version;
            version.venture_version = step.venture_version;
            kept.push_back(step);
        }
        if version.version == self.declarations.version {
            return Outcome::Unchanged;
        }
        let surplus = kept.len().saturating_sub(MAX_STEPS);
        kept.drain(..surplus);
        self.declarations = Arc::new(version);
        self.steps = Arc::new(kept);
        Outcome::Advanced
    }
}
