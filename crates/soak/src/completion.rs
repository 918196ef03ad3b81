//! Checks that no answer ends while its target goes on with it.

use std::{collections::BTreeMap, time::Duration};

use standin::partition::Shape;

use crate::{
    history::{Answer, Disturbance, History, Request},
    plan::{Fault, Victim},
};

/// Time that the end of a response needs to reach the caller: the operators' bound on late responses.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

/// The failed requests that a target without a fault answered or would have answered before the deadline.
///
/// A stream may go on at another target, and then no longer runs at the first one: what that target breaks off
/// later has ended there.
pub fn ended_early(history: &History) -> Vec<(&Request, &Answer)> {
    let mut answers: BTreeMap<&str, Vec<&Answer>> = BTreeMap::new();
    for answer in &history.answers {
        answers.entry(answer.request.as_str()).or_default().push(answer);
    }
    let failed = history.requests.iter().filter(|request| !is_complete(request));
    let early = failed.filter_map(|request| {
        let answers = answers.get(request.id.as_str())?;
        let answer = answers.iter().find(|answer| {
            is_due(request, answer, &history.disturbances) && !has_moved_on(history, answer)
        });
        answer.map(|answer| (request, *answer))
    });
    early.collect()
}

fn is_complete(request: &Request) -> bool {
    request.response.status == Some(200) && request.response.whole
}

fn is_due(request: &Request, answer: &Answer, disturbances: &[Disturbance]) -> bool {
    let beside = disturbances.iter().filter(|other| other.overlaps(request.sent, request.ended));
    let mut due = answer.due;
    for disturbance in beside {
        if disturbance.victim == Victim::Target(answer.target) {
            return false;
        }
        if disturbance.victim == Victim::Entry(request.entry) {
            match disturbance.fault {
                // What the target sends doesn't reach the instance.
                Fault::Kill | Fault::CutOff(Shape::Hang | Shape::Reset, _) => return false,
                Fault::Freeze => due = due.max(disturbance.until),
                _ => {}
            }
        }
    }
    due + TRANSIT_TIME <= request.sent + request.kind.deadline()
}

/// Whether the stream went on at another target after the connection to this one was closed, and that target broke it off
/// or lost its connection by a fault.
fn has_moved_on(history: &History, answer: &Answer) -> bool {
    let Some(closed) = answer.closed else {
        return false;
    };
    let mut broken_off = history.broken_off.iter();
    let mut others = history.answers.iter().filter(|other| other.target != answer.target);
    broken_off.any(|other| other.request == answer.request && closed < other.at)
        || others.any(|other| {
            let lost = other.closed.filter(|lost| closed < *lost);
            other.request == answer.request
                && lost.is_some_and(|lost| is_disturbed(history, other.target, lost))
        })
}

fn is_disturbed(history: &History, target: usize, at: Duration) -> bool {
    let victim = Victim::Target(target);
    history.disturbances.iter().any(|other| other.victim == victim && other.overlaps(at, at))
}
