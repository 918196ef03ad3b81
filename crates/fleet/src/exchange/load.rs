//! What instances say and ask of the load of engines.

use common::name;
use serde::{Deserialize, Serialize};

use crate::exchange::{Dispatch, Part};

/// Where a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Random number by which later notices refer to the placement; that of the inquiry made before, if there was one.
    pub number: u64,
    /// Name of the engine that decodes.
    pub target: name::Target,
    /// Name of the engine that prefills, if that is another one.
    pub prefill: Option<name::Target>,
    /// Expected prefill time of the prompt, in microseconds.
    pub prompt_us: u32,
    /// Expected time until the first token that isn't prefill, in microseconds.
    pub overhead_us: u32,
    /// Output tokens expected.
    pub output_tokens: u32,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
}

impl Placement {
    /// The engine that prefills.
    pub fn prefill(&self) -> &name::Target {
        self.prefill.as_ref().unwrap_or(&self.target)
    }

    /// The placement as dispatches to each engine. An engine that only decodes has the parts after the prefill, which a later
    /// notice says.
    pub(super) fn dispatches(&self) -> impl Iterator<Item = Dispatch> {
        let prefills = Dispatch {
            number: self.number,
            target: self.prefill().clone(),
            prompt_us: self.prompt_us,
            overhead_us: self.overhead_us,
            output_tokens: if self.prefill.is_some() { 0 } else { self.output_tokens },
            parts: self.parts.clone(),
        };
        let decodes = self.prefill.is_some().then(|| Dispatch {
            number: 0,
            target: self.target.clone(),
            prompt_us: 0,
            overhead_us: 0,
            output_tokens: self.output_tokens,
            parts: Vec::new(),
        });
        std::iter::once(prefills).chain(decodes)
    }
}

/// A question to a keeper of a cell, before a request is sent to one of the cell's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inquiry {
    /// Random number by which the answer refers to the inquiry.
    pub number: u64,
    /// The cell.
    pub cell: u64,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
    /// Output tokens expected.
    pub output_tokens: u32,
    /// Latency objective of the first token, in milliseconds.
    pub target_latency_ms: u32,
    /// Time left until the deadline of the request, in milliseconds.
    pub remaining_ms: u32,
    /// Whether another engine than the one that decodes may prefill.
    pub may_prefill_apart: bool,
    /// Engines that are not to be chosen.
    pub avoid: Vec<name::Target>,
    /// The engine of another cell from which the longest prefix can be copied.
    pub source: Option<Holding>,
    /// When an engine is chosen.
    pub scope: Scope,
}

/// When a keeper chooses an engine for an inquiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Unless the request would wait long for earlier prompts, so that another cell may be better.
    UnlessCrowded,
    /// If that costs less than this, in milliseconds.
    Below(u32),
    /// In any case.
    Always,
}

/// A prefix of a prompt that can be copied from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the engine.
    pub target: name::Target,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// The engines that a keeper has chosen for an inquiry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Name of the engine that decodes.
    pub target: name::Target,
    /// Name of the engine that prefills, if that is another one.
    pub prefill: Option<name::Target>,
}

/// Load of the engines of a cell, before the request of the inquiry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// Number of the inquiry.
    pub number: u64,
    /// One for each engine; none if the instance doesn't keep the cell, or only since lately.
    pub engines: Vec<Load>,
    /// Where the keeper counts the request from now on; none if it would be refused there, see also [`Scope`].
    pub choice: Option<Choice>,
}

/// Load of an engine, and what it has cached of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the engine.
    pub target: name::Target,
    /// Time until the prefill of a prompt would begin, in milliseconds.
    pub wait_ms: u32,
    /// Share of its time that it prefills, in percent.
    pub prefill_percent: u32,
    /// Time that it takes to prefill, in percent of what the cost model expects.
    pub slowdown_percent: u32,
    /// Requests that run.
    pub running: u32,
    /// Length in tokens of the prefix that is cached, or will be.
    pub prefix_tokens: u32,
    /// Length in tokens of the prefix that can be copied.
    pub computed_tokens: u32,
}
