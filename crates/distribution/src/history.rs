//! The newest document and the patches that lead to it, as an instance that keeps the log serves them.

use std::{collections::VecDeque, sync::Arc};

use fleet::{
    exchange::{
        self,
        segment::{Key, Segment, Wanted},
    },
    register::Document,
};

use crate::patch::{self, Patch};

/// Bytes of patches that are always kept; beyond them, at most a fraction of the newest document's size.
const MIN_PATCH_BYTES: usize = 64 * 1024;
/// Fraction of the newest document's size up to which patches are kept. A whole document compresses to about as much.
const PATCH_FRACTION: usize = 8;
/// Most bytes of packages that are kept so that transfers can go on, beside the last package.
const MAX_PACKAGE_BYTES: usize = 2 * 1024 * 1024;
/// Most bytes of a segment.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// The patches that lead from a version to the newest one, in order, encoded.
#[derive(Clone, Debug)]
struct Package {
    key: Key,
    bytes: Arc<[u8]>,
}

/// A step from one document to the next.
#[derive(Clone, Debug)]
struct Step {
    base_version: u64,
    base_checksum: u32,
    patch: Patch,
}

/// The newest document and the last steps that led to it.
#[derive(Clone, Debug, Default)]
pub struct History {
    newest: Option<Arc<Document>>,
    checksum: u32,
    steps: VecDeque<Step>,
    /// Packages that are being transferred, the last one at the end.
    packages: VecDeque<Package>,
}

impl History {
    /// Records a document unless one of its version or a newer one is known, with the difference to the one before.
    pub fn record(&mut self, document: &Arc<Document>) {
        let before = self.newest.clone();
        if before.as_ref().is_some_and(|before| before.version >= document.version) {
            return;
        }
        if let Some(before) = before {
            let patch = Patch::new(&before.bytes, document);
            let step = Step { base_version: before.version, base_checksum: self.checksum, patch };
            self.steps.push_back(step);
        }
        self.checksum = patch::checksum(&document.bytes);
        self.newest = Some(Arc::clone(document));
        let limit = MIN_PATCH_BYTES.max(document.bytes.len() / PATCH_FRACTION);
        while self.patch_bytes() > limit {
            self.steps.pop_front();
        }
    }

    /// Bytes that the patches and the packages take.
    pub fn size_bytes(&self) -> usize {
        self.patch_bytes() + self.package_bytes()
    }

    /// The next segment of a transfer, of a new one if the wanted one isn't known or there is none; `None` if the instance
    /// that asks holds the newest version.
    pub fn segment(&mut self, wanted: &Wanted) -> Option<Segment> {
        let begun = |package: &&Package| Some(package.key) == wanted.transfer;
        let package = match self.packages.iter().find(begun) {
            Some(package) => package.clone(),
            None => self.package(wanted)?,
        };
        let offset = if begun(&&package) { wanted.offset } else { 0 };
        Some(package.segment(offset, wanted.max_bytes))
    }

    /// The package for an instance, which is kept for its further segments and for other instances.
    fn package(&mut self, wanted: &Wanted) -> Option<Package> {
        let newest = self.newest.clone().filter(|newest| newest.version > wanted.version)?;
        let start = self.steps.iter().position(|step| {
            wanted.version > 0
                && step.base_version == wanted.version
                && step.base_checksum == wanted.checksum
        });
        let base = if start.is_some() { wanted.version } else { 0 };
        let is_same =
            |package: &&Package| package.key.version == newest.version && package.key.base == base;
        if let Some(package) = self.packages.iter().find(is_same) {
            return Some(package.clone());
        }
        let patches: Vec<Patch> = match start {
            Some(start) => self.steps.range(start..).map(|step| step.patch.clone()).collect(),
            None => vec![Patch::new(&[], &newest)],
        };
        let package = Package::new(newest.version, base, &patches);
        self.packages.push_back(package.clone());
        while self.packages.len() > 1 && self.package_bytes() > MAX_PACKAGE_BYTES {
            self.packages.pop_front();
        }
        Some(package)
    }

    fn patch_bytes(&self) -> usize {
        self.steps.iter().map(|step| step.patch.size_bytes()).sum()
    }

    fn package_bytes(&self) -> usize {
        self.packages.iter().map(|package| package.bytes.len()).sum()
    }
}

impl Package {
    fn new(version: u64, base: u64, patches: &[Patch]) -> Package {
        let bytes = exchange::encode(&patches);
        let key =
            Key { version, base, total: bytes.len() as u64, checksum: patch::checksum(&bytes) };
        Package { key, bytes: bytes.into() }
    }

    fn segment(&self, offset: u64, max_bytes: u32) -> Segment {
        let length = self.bytes.len();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(length);
        let most = usize::try_from(max_bytes).unwrap_or(usize::MAX).clamp(1, MAX_SEGMENT_BYTES);
        let end = length.min(start + most);
        Segment { key: self.key, offset: start as u64, bytes: self.bytes[start..end].to_vec() }
    }
}
