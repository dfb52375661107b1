//! The check of a round against the operators' rules, by what its clients and servers recorded.
use std::time::{Duration, Instant};

use super::clients::{Request, RequestOutcome};
use super::servers::{Arrival, Arrivals};

/// Longest time for which a request without a response may have been open: an unread request may
/// cross the node's close, but one open for longer has been read or should have been.
const MAX_CROSSING: Duration = Duration::from_millis(60);
/// Largest delay of a response after the client timeout that is not a fault: such a response is
/// worthless, but not lost.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Longest time from its client's close to the arrival of an attempt at a server: 100 ms within
/// which the attempt may still begin, and 25 ms by which the server's thread may record it late.
const MAX_ATTEMPT_AFTER_CLOSE: Duration = Duration::from_millis(100 + 25);

/// Returns the faults of a round. `stalled`: the total length of the stalls of the process. A
/// connection that always has a command open can only be closed with one in flight. If the process
/// is stalled between its last read and the close, that command crosses the close by as much. A
/// client with one command at a time is closed between two.
pub fn faults(
    requests: &[Request],
    all_arrivals: &Arrivals,
    stalled: Duration,
    terminated_at: Instant,
) -> Vec<String> {
    let mut faults = Vec::new();
    for request in requests {
        let arrivals = all_arrivals.of(&request.id);
        let mut new_faults = Vec::new();
        let fault = match &request.outcome {
            RequestOutcome::NoResponse { ended_at } => {
                no_response_fault(request, &arrivals, *ended_at, stalled)
            }
            RequestOutcome::Abandoned { at } => abandoned_fault(request, &arrivals, *at),
            RequestOutcome::Responded { at, response } => {
                let late = late_response_fault(request, *at);
                new_faults.extend(late);
                wrong_response_fault(request, response)
            }
        };
        new_faults.extend(fault);
        new_faults.extend(duplicate_fault(request, &arrivals));
        faults.extend(
            new_faults
                .into_iter()
                .map(|fault| format!("{fault}; {}", timeline(request, &arrivals, terminated_at))),
        );
    }
    faults
}

/// Describes when a request was sent and reached servers, relative to SIGTERM, and its outcome.
fn timeline(request: &Request, arrivals: &[Arrival], terminated_at: Instant) -> String {
    let from_sigterm = |at: Instant| match at.checked_duration_since(terminated_at) {
        Some(after) => format!("{after:?} after SIGTERM"),
        None => format!("{:?} before SIGTERM", terminated_at - at),
    };
    let arrivals: Vec<_> = arrivals
        .iter()
        .map(|arrival| format!("{} {}", arrival.server, from_sigterm(arrival.at)))
        .collect();
    let [before, after] = request.processor_waits;
    format!(
        "sent {}, reached {arrivals:?}, {:?}, its client's thread waited for a processor for {:?}",
        from_sigterm(request.sent_at),
        request.outcome,
        after - before
    )
}

fn no_response_fault(
    request: &Request,
    arrivals: &[Arrival],
    ended_at: Instant,
    stalled: Duration,
) -> Option<String> {
    let open = ended_at.saturating_duration_since(request.sent_at);
    let max_crossing = if request.is_pipelined {
        MAX_CROSSING + stalled
    } else {
        MAX_CROSSING
    };
    let is_lost = !arrivals.is_empty() || open > max_crossing;
    is_lost.then(|| {
        format!(
            "lost: {} of {} was open for {open:?} and reached servers {} times",
            request.id,
            request.product,
            arrivals.len()
        )
    })
}

fn abandoned_fault(request: &Request, arrivals: &[Arrival], closed_at: Instant) -> Option<String> {
    let since_close = |arrival: &Arrival| arrival.at.saturating_duration_since(closed_at);
    let late = arrivals
        .iter()
        .find(|arrival| since_close(arrival) > MAX_ATTEMPT_AFTER_CLOSE)?;
    Some(format!(
        "lost: {} reached {} {:?} after its client had disconnected",
        request.id,
        late.server,
        since_close(late)
    ))
}

fn late_response_fault(request: &Request, responded_at: Instant) -> Option<String> {
    let elapsed = responded_at.saturating_duration_since(request.sent_at);
    let is_late = elapsed > request.client_timeout + MAX_RESPONSE_DELAY;
    is_late.then(|| {
        format!(
            "lost: {} got its response after {elapsed:?}, with a client timeout of {:?}",
            request.id, request.client_timeout
        )
    })
}

/// Returns a fault if the value is not the request's own id, with which servers respond.
fn wrong_response_fault(request: &Request, response: &str) -> Option<String> {
    let is_value = !response.starts_with('-');
    let is_wrong = is_value && response != request.id;
    is_wrong.then(|| format!("misrouted: {} got the response {response:?}", request.id))
}

fn duplicate_fault(request: &Request, arrivals: &[Arrival]) -> Option<String> {
    let may_have_run = arrivals
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
