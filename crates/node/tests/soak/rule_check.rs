//! What of a round breaks the operators' rules, by what clients and servers saw.
use std::time::{Duration, Instant};

use super::clients::{Request, RequestOutcome};
use super::servers::{Arrival, Arrivals};

/// A request that the node has not read may cross its close; one that had so long to be read has
/// been, or should have.
const MAX_CROSSING: Duration = Duration::from_millis(60);
/// An answer so long after its time only earns nothing.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client's close; with it goes how late a server's thread
/// may note it.
const MAX_ATTEMPT_AFTER_CLOSE: Duration = Duration::from_millis(100 + 25);

/// The faults of a round. `stalled`: for how long the process was in all. A connection on which
/// there is always a command open has to be closed with one on its way, and where the process is
/// stalled between its last read and the close that one crosses it for as long; a client with one
/// command at a time is closed between two.
pub fn faults(
    requests: &[Request],
    arrivals: &Arrivals,
    stalled: Duration,
    terminated_at: Instant,
) -> Vec<String> {
    let mut faults = Vec::new();
    for request in requests {
        let reached = arrivals.of(&request.id);
        let mut found = Vec::new();
        let fault = match &request.outcome {
            RequestOutcome::NoResponse { ended_at } => {
                unanswered_fault(request, &reached, *ended_at, stalled)
            }
            RequestOutcome::Abandoned { at } => abandoned_fault(request, &reached, *at),
            RequestOutcome::Responded { at, response } => {
                let late = late_answer_fault(request, *at);
                found.extend(late);
                wrong_answer_fault(request, response)
            }
        };
        found.extend(fault);
        found.extend(duplicate_fault(request, &reached));
        faults.extend(
            found
                .into_iter()
                .map(|fault| format!("{fault}; {}", times(request, &reached, terminated_at))),
        );
    }
    faults
}

/// When a request was sent and reached servers, from SIGTERM, and what its client got.
fn times(request: &Request, reached: &[Arrival], terminated_at: Instant) -> String {
    let from_sigterm = |at: Instant| match at.checked_duration_since(terminated_at) {
        Some(after) => format!("{after:?} after SIGTERM"),
        None => format!("{:?} before SIGTERM", terminated_at - at),
    };
    let reached: Vec<_> = reached
        .iter()
        .map(|arrival| format!("{} {}", arrival.server, from_sigterm(arrival.at)))
        .collect();
    let [before, after] = request.processor_waits;
    format!(
        "sent {}, reached {reached:?}, {:?}, its client's thread waited for a processor for {:?}",
        from_sigterm(request.sent_at),
        request.outcome,
        after - before
    )
}

fn unanswered_fault(
    request: &Request,
    reached: &[Arrival],
    ended_at: Instant,
    stalled: Duration,
) -> Option<String> {
    let open = ended_at.saturating_duration_since(request.sent_at);
    let max_crossing = if request.is_pipelined {
        MAX_CROSSING + stalled
    } else {
        MAX_CROSSING
    };
    let is_lost = !reached.is_empty() || open > max_crossing;
    is_lost.then(|| {
        format!(
            "lost: {} of {} was open for {open:?} and sent to {}",
            request.id,
            request.product,
            reached.len()
        )
    })
}

fn abandoned_fault(request: &Request, reached: &[Arrival], closed_at: Instant) -> Option<String> {
    let since_close = |arrival: &Arrival| arrival.at.saturating_duration_since(closed_at);
    let late = reached
        .iter()
        .find(|arrival| since_close(arrival) > MAX_ATTEMPT_AFTER_CLOSE)?;
    Some(format!(
        "lost: {} reached {} {:?} after its client",
        request.id,
        late.server,
        since_close(late)
    ))
}

fn late_answer_fault(request: &Request, answered_at: Instant) -> Option<String> {
    let took = answered_at.saturating_duration_since(request.sent_at);
    let is_late = took > request.client_timeout + MAX_LATENESS;
    is_late.then(|| {
        format!(
            "lost: {} was answered after {took:?} of {:?}",
            request.id, request.client_timeout
        )
    })
}

/// Servers answer a request with its own id.
fn wrong_answer_fault(request: &Request, response: &str) -> Option<String> {
    let is_value = !response.starts_with('-');
    let is_wrong = is_value && response != request.id;
    is_wrong.then(|| format!("misrouted: {} was answered {response:?}", request.id))
}

fn duplicate_fault(request: &Request, reached: &[Arrival]) -> Option<String> {
    let may_have_run = reached
        .iter()
        .filter(|arrival| !arrival.is_not_executed)
        .count();
    let is_duplicate = request.product == "book" && may_have_run > 1;
    is_duplicate.then(|| {
        format!(
            "duplicate: {} may have run {may_have_run} times",
            request.id
        )
    })
}
