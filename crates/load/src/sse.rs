//! Reads a stream of server-sent events and records when each token was received.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::Instant;

/// What was received of a stream.
#[derive(Debug, Default)]
pub(crate) struct Recording {
    /// The concatenated tokens.
    pub text: String,
    /// When each token was received.
    pub times: Vec<Instant>,
    /// Whether the closing event was received.
    pub is_done: bool,
    /// Error event that was sent in place of further tokens.
    pub error: Option<String>,
}

impl Recording {
    /// 95th percentile of the gaps between tokens; 0 if there are fewer than two tokens.
    pub fn gap_p95(&self) -> Duration {
        const PERCENTILE: usize = 95;
        let mut gaps: Vec<Duration> = self.times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        gaps.sort();
        let position = (gaps.len() * PERCENTILE).div_ceil(100).saturating_sub(1);
        gaps.get(position).copied().unwrap_or_default()
    }

    fn read_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(error) = event.get("error") {
            self.error = Some(error.to_string());
            return;
        }
        let choice = &event["choices"][0];
        let token = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
        if let Some(token) = token {
            self.text.push_str(token);
            self.times.push(Instant::now());
        }
    }
}

/// Reads `body` into `recording` until it ends or fails.
pub(crate) async fn read(
    mut body: Incoming,
    recording: &mut Recording,
) -> Result<(), hyper::Error> {
    let mut pending = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        pending.extend_from_slice(&data);
        while let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            recording.read_line(String::from_utf8_lossy(&line).trim_end());
        }
    }
    Ok(())
}
