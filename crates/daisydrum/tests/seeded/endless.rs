//! Bytes without end in a response that is none.

use std::time::{Duration, Instant};

use platform_standin::{client, raw::Script};
use yare::parameterized;

use crate::{fleet::Daemon, framing};

/// Largest resident memory of an entry instance that its machine allows, in KB.
pub const MEMORY_LIMIT_KB: u64 = 260 * 1024;
const CONCURRENT_REQUESTS: usize = 100;

#[parameterized(
    head_of_a_stream = { Script::EndlessHead, "engines" },
    interim_responses_of_a_stream = { Script::EndlessInterim, "engines" },
    body_of_a_stream = { Script::EndlessBody, "engines" },
    trailers_of_a_stream = { Script::EndlessTrailers, "engines" },
    head_of_a_response = { Script::EndlessHead, "portal" },
    interim_responses = { Script::EndlessInterim, "portal" },
    body_of_a_response = { Script::EndlessBody, "portal" },
    trailers_of_a_response = { Script::EndlessTrailers, "portal" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn bytes_without_end_cost_bounded_memory_and_requests_end_in_time(
    script: Script,
    service: &str,
) {
    let pair = framing::start("seeded-endless", script, service).await;
    let entry = &pair.fleet.entries[0];
    let callers = entry.callers();
    let began = Instant::now();
    let requests = (0..CONCURRENT_REQUESTS).map(|number| async move {
        let id = format!("e{number}");
        if service == "engines" {
            client::post_stream(callers, "/summary/1", &id).await
        } else {
            client::post_plain(callers, "/lookup/1", &id).await
        }
    });
    let responses = futures::future::join_all(requests).await;
    assert!(began.elapsed() < Duration::from_secs(12), "{:?}", began.elapsed());
    assert!(responses.iter().all(|response| response.status.is_some()));
    let memory = peak_memory_kb(entry);
    assert!(memory < MEMORY_LIMIT_KB, "{memory} KB");
}

/// Peak resident memory of a daemon, in KB.
pub fn peak_memory_kb(daemon: &Daemon) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.process_id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}
