//! `daisyctl explain`: the log lines of one request from the logs of any number of instances.

use std::{
    fs,
    io::{self, Read},
};

use common::collections::Set;

use crate::{arguments, error::Error, output};

/// Events of a target that explain what happened to a request there.
const CONTEXT_EVENTS: [&str; 6] = [
    "target_known",
    "target_left_out",
    "target_reached",
    "order_given",
    "order_done",
    "target_lost",
];
/// Such events are shown up to this long before the first and after the last line of the request, in milliseconds.
const CONTEXT_MS: u64 = 5_000;
/// Keys that are not shown as pairs; the title shows the id, and each line starts with its time and event.
const HEADING_KEYS: [&str; 4] = ["ts_ms", "level", "event", "id"];
const TARGET_KEYS: [&str; 3] = ["target", "prefill", "fetch"];

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when a file can't be read or no line names the request.
pub fn run(arguments: &arguments::Explain) -> Result<(), Error> {
    let mut texts = Vec::new();
    for path in &arguments.file {
        let text =
            fs::read_to_string(path).map_err(|cause| Error::File { path: path.clone(), cause })?;
        texts.push(text);
    }
    if arguments.file.is_empty() {
        let mut bytes = Vec::new();
        io::stdin()
            .read_to_end(&mut bytes)
            .map_err(|cause| Error::File { path: String::from("standard input"), cause })?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let log = Log::read(&texts);
    let Some(text) = log.explain(&arguments.id) else {
        let reason = format!(
            "no line names the request {}; {} lines read, {} skipped",
            arguments.id,
            log.lines.len(),
            log.skipped
        );
        return Err(Error::Refused { reason });
    };
    output::text(&text);
    Ok(())
}

/// Lines of the logs of any number of instances.
#[derive(Clone, Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    /// Number of lines that are truncated or not from daisydrum.
    pub skipped: usize,
}

#[derive(Clone, Debug, Default)]
struct Line {
    at_ms: u64,
    /// The word before the pairs, such as the name that a log collector gives the instance.
    origin: String,
    event: String,
    id: Option<String>,
    pairs: Vec<(String, String)>,
}

impl Log {
    /// Parses logs from any source; lines that can't be parsed are skipped and counted.
    pub fn read(texts: &[String]) -> Log {
        let mut log = Log::default();
        for line in
            texts.iter().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty())
        {
            match Line::parse(line) {
                Some(line) => log.lines.push(line),
                None => log.skipped += 1,
            }
        }
        log.lines.sort_by_key(|line| line.at_ms);
        log
    }

    /// The lines of a request and of related events, ordered by time; `None` if no line names the request.
    pub fn explain(&self, id: &str) -> Option<String> {
        let own: Vec<&Line> =
            self.lines.iter().filter(|line| line.id.as_deref() == Some(id)).collect();
        let (first, last) = (own.first()?.at_ms, own.last()?.at_ms);
        let origins: Set<&str> = own.iter().map(|line| line.origin.as_str()).collect();
        let targets: Set<&str> = own.iter().flat_map(|line| line.targets()).collect();
        let near = |line: &&Line| {
            line.at_ms + CONTEXT_MS >= first
                && line.at_ms <= last + CONTEXT_MS
                && CONTEXT_EVENTS.contains(&line.event.as_str())
                && (origins.contains(line.origin.as_str()) || line.event.starts_with("order"))
                && line.targets().any(|target| targets.contains(target))
        };
        let belongs = |line: &&Line| line.id.as_deref() == Some(id) || near(line);
        let mut text = format!("request {id}\n");
        for line in self.lines.iter().filter(belongs) {
            let mark = if line.id.as_deref() == Some(id) { ' ' } else { '~' };
            text.push_str(&line.render(first, mark));
        }
        if self.skipped > 0 {
            text.push_str(&format!("{} other lines skipped\n", self.skipped));
        }
        Some(text)
    }
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let start = text.find("ts_ms=")?;
        let origin = text[..start].split_whitespace().last().unwrap_or_default();
        let mut line = Line { origin: String::from(origin), ..Line::default() };
        let mut rest = text[start..].trim_end();
        while !rest.is_empty() {
            let (pair, after) = take_pair(rest)?;
            match pair.0.as_str() {
                "ts_ms" => line.at_ms = pair.1.parse().ok()?,
                "event" => line.event.clone_from(&pair.1),
                "id" => line.id = Some(pair.1.clone()),
                _ => {}
            }
            line.pairs.push(pair);
            rest = after;
        }
        (!line.event.is_empty()).then_some(line)
    }

    fn targets(&self) -> impl Iterator<Item = &str> {
        let named = self.pairs.iter().filter(|(key, _)| TARGET_KEYS.contains(&key.as_str()));
        named.map(|(_, value)| value.as_str()).filter(|value| !value.is_empty())
    }

    fn render(&self, first: u64, mark: char) -> String {
        let offset = i128::from(self.at_ms) - i128::from(first);
        // The logger writes the keys in reverse order.
        let pairs = self
            .pairs
            .iter()
            .rev()
            .filter(|(key, value)| !HEADING_KEYS.contains(&key.as_str()) && !value.is_empty());
        let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
        format!("{mark}{offset:>7} ms  {}  {}  {}\n", self.origin, self.event, pairs.join(" "))
    }
}

/// The first pair of a text and the remaining text; `None` if the pair is malformed or truncated.
fn take_pair(text: &str) -> Option<((String, String), &str)> {
    let (key, rest) = text.split_once('=')?;
    if key.is_empty() || key.contains(char::is_whitespace) {
        return None;
    }
    let Some(quoted) = rest.strip_prefix('"') else {
        let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
        let pair = (String::from(key), String::from(&rest[..end]));
        return Some((pair, rest[end..].trim_start()));
    };
    let mut value = String::new();
    let mut escaped = false;
    for (position, character) in quoted.char_indices() {
        match character {
            _ if escaped => {
                value.push(character);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return Some(((String::from(key), value), quoted[position + 1..].trim_start())),
            _ => value.push(character),
        }
    }
    None
}
