//! Versions of a large configuration reach instances in few bytes, also when transfers are interrupted.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::sync::Arc;

use distribution::{
    download::{Download, Step},
    history::History,
    patch::Patch,
};
use expect_test::expect;
use fleet::{exchange::segment::Wanted, register::Document};
use proptest::prelude::*;

/// A configuration of so many routes, of about the size and repetition of those that operators send.
fn document(version: u64, routes: u64) -> Arc<Document> {
    let route = |number: u64| {
        let id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            "{{\"name\":\"r-{id:x}\",\"host\":\"{:x}.example\",\"prefix_path\":\"/{:x}/\",\
             \"route_type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\
             \"priority\":1,\"service\":\"engines\",\"max_attempts\":1,\
             \"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":250}}",
            id >> 40,
            id & 0xff_ffff,
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let text =
        format!("{{\"version\":{version},\"routes\":[{}],\"services\":[]}}", routes.join(","));
    Arc::new(Document { version, bytes: text.into_bytes() })
}

fn history(documents: &[&Arc<Document>]) -> History {
    let mut history = History::default();
    documents.iter().for_each(|document| history.record(document));
    history
}

/// Transfers the newest document to an instance that holds `held`; returns it and the bytes of all segments.
fn transfer(history: &mut History, held: Option<&Document>) -> (Document, usize) {
    let mut download = Download::default();
    let mut bytes = 0;
    loop {
        let segment = history.segment(&download.wanted(held)).unwrap();
        bytes += segment.bytes.len();
        if let Step::Complete(document) = download.receive(&segment, held).unwrap() {
            return (document, bytes);
        }
    }
}

/// Guards against full links at entry instances: each change sent the whole document to each of them.
#[test]
fn a_change_of_a_large_configuration_travels_as_the_difference() {
    let documents = [document(1, 3_040), document(2, 4_560), document(3, 4_561), document(4, 1)];
    let mut lines = String::new();
    for (held, newest) in [(None, 1), (Some(0), 1), (Some(1), 2), (Some(0), 2), (Some(2), 3)] {
        let recorded: Vec<&Arc<Document>> = documents[..=newest].iter().collect();
        let mut history = history(&recorded);
        let (received, bytes) = transfer(&mut history, held.map(|held: usize| &*documents[held]));
        assert_eq!(received, *documents[newest]);
        lines += &format!(
            "held {:?}, newest of {} bytes: {} KiB\n",
            held.map(|held| documents[held].version),
            received.bytes.len(),
            bytes.div_ceil(1024),
        );
    }
    expect![[r#"
        held None, newest of 1180140 bytes: 87 KiB
        held Some(1), newest of 1180140 bytes: 30 KiB
        held Some(2), newest of 1180399 bytes: 1 KiB
        held Some(1), newest of 1180399 bytes: 30 KiB
        held Some(3), newest of 272 bytes: 1 KiB
    "#]]
    .assert_eq(&lines);
}

#[test]
fn an_interrupted_transfer_goes_on_at_another_instance() {
    let (held, newest) = (document(1, 10), document(2, 9_000));
    let mut one = history(&[&held, &newest]);
    let mut other = history(&[&held, &newest]);
    let mut download = Download::default();
    let first = one.segment(&download.wanted(Some(&held))).unwrap();
    assert_eq!(download.receive(&first, Some(&held)).unwrap(), Step::Continue);
    download.record_failure();
    let second = other.segment(&download.wanted(Some(&held))).unwrap();
    assert_eq!((second.key, second.offset), (first.key, first.bytes.len() as u64));
    assert!(second.bytes.len() < first.bytes.len(), "a late segment is followed by a smaller one");
}

#[test]
fn a_transfer_ends_although_a_newer_version_arrives_meanwhile() {
    let documents = [document(1, 10), document(2, 9_000), document(3, 9_001)];
    let mut history = history(&[&documents[0], &documents[1]]);
    let held = Some(&*documents[0]);
    let mut download = Download::default();
    let first = history.segment(&download.wanted(held)).unwrap();
    assert_eq!(download.receive(&first, held).unwrap(), Step::Continue);
    history.record(&documents[2]);
    let received = loop {
        let segment = history.segment(&download.wanted(held)).unwrap();
        if let Step::Complete(document) = download.receive(&segment, held).unwrap() {
            break document;
        }
    };
    assert_eq!(received.version, 2);
    assert_eq!(transfer(&mut history, Some(&received)).0, *documents[2]);
}

#[test]
fn an_instance_with_other_content_under_its_version_gets_the_whole_document() {
    let (recorded, newest) = (document(1, 50), document(2, 51));
    let mut history = history(&[&recorded, &newest]);
    let other = Document { version: 1, bytes: b"{}".to_vec() };
    assert_eq!(transfer(&mut history, Some(&other)).0, *newest);
    assert_eq!(history.segment(&Wanted { version: 2, ..Download::default().wanted(None) }), None);
}

#[test]
fn late_and_repeated_segments_change_nothing() {
    let (held, newest) = (document(1, 10), document(2, 9_000));
    let mut history = history(&[&held, &newest]);
    let mut download = Download::default();
    let first = history.segment(&download.wanted(Some(&held))).unwrap();
    let second = Wanted {
        transfer: Some(first.key),
        offset: first.bytes.len() as u64,
        ..download.wanted(Some(&held))
    };
    let second = history.segment(&second).unwrap();
    for segment in [&second, &first, &first, &second, &second] {
        assert_eq!(download.receive(segment, Some(&held)).unwrap(), Step::Continue);
    }
    assert_eq!(download.wanted(Some(&held)).offset, 2 * first.bytes.len() as u64);
    assert_eq!(download.receive(&first, Some(&newest)).unwrap(), Step::Continue);
}

/// Guards against memory that grows with the number of versions.
#[test]
fn the_memory_for_patches_and_packages_is_bounded() {
    let mut history = History::default();
    let mut most = 0;
    for version in 1..60 {
        let newest = document(version, if version % 2 == 0 { 300 } else { 3_000 });
        history.record(&newest);
        history.segment(&Download::default().wanted(None)).unwrap();
        most = most.max(history.size_bytes());
    }
    assert!(most < 3 * 1024 * 1024, "{most} bytes");
}

proptest! {
    #[test]
    fn a_patch_leads_to_the_document_it_was_made_for(
        base in proptest::collection::vec(0_u8..4, 0..2_000),
        edits in proptest::collection::vec((any::<usize>(), proptest::collection::vec(any::<u8>(), 0..40)), 0..6),
    ) {
        let mut bytes = base.clone();
        for (at, insertion) in edits {
            let at = at % (bytes.len() + 1);
            let end = bytes.len().min(at + insertion.len() / 2);
            bytes.splice(at..end, insertion);
        }
        let newer = Document { version: 2, bytes };
        let patch = Patch::new(&base, &newer);
        prop_assert_eq!(&patch.apply(&base).unwrap(), &newer);
        let other = [base.as_slice(), b"x"].concat();
        if let Ok(result) = patch.apply(&other) {
            prop_assert_eq!(&result, &newer);
        }
    }
}
