//! The rules that every attempt and every response must obey. `Balancer::send_attempt` checks rules
//! 1 to 3 before it dispatches, and `Balancer::give_up` checks rule 2 before it responds. Rule 4 is
//! checked when a server is selected, by
//! [`SlowStart::has_credit`](crate::slow_start::SlowStart::has_credit) and
//! [`Origin::has_slot`](crate::origin::Origin::has_slot).
use crate::call::Call;
use crate::config::{DedupScope, Idempotency};
use crate::endpoint::{EndpointState, ServerIndex};
use crate::server::Server;
use crate::time::{Span, Time};

/// Safety margin of a deduplication window, for delays between the decision and the last byte of
/// the request.
const DEDUP_WINDOW_MARGIN: Span = Span::ms(20);
/// Represents an unlimited time until an attempt is written.
const UNLIMITED: Span = Span::ms(u32::MAX as i64);

/// Rule 1: every call gets exactly one final response in time, and nothing is sent for it
/// afterwards.
pub(crate) fn may_be_sent(call: &Call, now: Time) -> bool {
    !call.finished && !call.streaming && now < call.client_deadline
}

/// Rule 2: no call takes effect twice. Returns whether a call may be sent to this server, given
/// what its earlier attempts may have done.
pub(crate) fn has_no_effect_twice(
    call: &Call,
    servers: &[Server],
    target: ServerIndex,
    now: Time,
) -> bool {
    let Some(earlier) = call.first_possibly_executed() else {
        return true;
    };
    let earlier_server = &servers[earlier.server.0];
    let target_server = &servers[target.0];
    let shares_deduplication = match call.product.dedup_scope {
        DedupScope::All => true,
        DedupScope::Zone => earlier_server.zone == target_server.zone,
        DedupScope::Cell => earlier_server.cell == target_server.cell,
        DedupScope::One => earlier.server == target,
    };
    let needs_deduplication = call.product.idempotency == Idempotency::Deduplicated;
    safe_retry_window(call, now) > Span::ZERO && (shares_deduplication || !needs_deduplication)
}

/// Rule 2: returns how long from now an attempt may still be written without the call taking effect
/// twice.
pub(crate) fn safe_retry_window(call: &Call, now: Time) -> Span {
    let window = Span(call.product.dedup_window.0 - DEDUP_WINDOW_MARGIN.0);
    match (call.first_possibly_executed(), call.product.idempotency) {
        (Some(earlier), Idempotency::Deduplicated) => earlier.sent + window - now,
        (None, Idempotency::Deduplicated) if window > Span::ZERO => window,
        (Some(_), Idempotency::NonIdempotent) => Span::ZERO,
        _ => UNLIMITED,
    }
}

/// Rule 2: returns whether a call may be rejected as having had no effect, which tells the client
/// that it may retry.
pub(crate) fn may_be_rejected(call: &Call, now: Time) -> bool {
    let retry_reaches_deduplication = call.product.idempotency == Idempotency::Idempotent
        || call.product.dedup_scope == DedupScope::All;
    call.first_possibly_executed().is_none()
        || retry_reaches_deduplication && safe_retry_window(call, now) > Span::ZERO
}

/// Rule 3: no new attempts go to a draining or gone server.
pub(crate) fn accepts_new_attempts(server: &Server) -> bool {
    server.state == EndpointState::Ready
}
