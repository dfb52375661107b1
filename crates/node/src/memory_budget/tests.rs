//! Who gets memory, and in which order.
use super::*;

/// Bytes that each connection has of its own.
const OWN_BYTES: usize = 5;

/// A budget of 100 bytes for long messages and 150 with responses.
fn budget() -> Rc<MemoryBudget> {
    MemoryBudget::new(&Limits {
        buffered_bytes: 100,
        buffered_bytes_with_responses: 150,
        idle_buffer_bytes: OWN_BYTES,
        ..Limits::default()
    })
}

/// Whether a request has been notified; a notification is taken.
fn is_notified(request: &MemoryRequest) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let available = request.available.clone();
    runtime.block_on(async {
        tokio::select! {
            biased;
            () = available.notified() => true,
            () = std::future::ready(()) => false,
        }
    })
}

#[test]
fn long_messages_leave_memory_for_short_commands_and_responses() {
    let budget = budget();
    let mut long = MemoryReservation::new(&budget);
    assert!(long.try_set(OWN_BYTES + 100, MemoryUse::LongMessage));
    let mut other = MemoryReservation::new(&budget);
    assert!(other.try_set(OWN_BYTES, MemoryUse::LongMessage));
    assert!(!other.try_set(OWN_BYTES + 1, MemoryUse::LongMessage));
    assert!(budget.has_room(50, MemoryUse::Response));
    assert!(!budget.has_room(51, MemoryUse::Response));
    budget.add_buffered(30);
    assert!(other.try_set(OWN_BYTES, MemoryUse::LongMessage));
    drop(long);
    assert!(!other.try_set(OWN_BYTES + 71, MemoryUse::LongMessage));
    assert!(other.try_set(OWN_BYTES + 70, MemoryUse::LongMessage));
}

#[test]
fn requests_for_a_client_are_notified_of_its_turn() {
    let budget = budget();
    let reservation = MemoryReservation::new(&budget);
    let request = || reservation.request(OWN_BYTES + 200, MemoryUse::LongMessage);
    let own = request().for_client(Some(ClientId(1)));
    let others = [request().for_client(Some(ClientId(2))), request()];
    budget.notify_requests_for(ClientId(1));
    assert!(is_notified(&own));
    assert!(!others.iter().any(is_notified));
}

#[test]
fn freed_memory_is_offered_to_those_for_whom_it_suffices() {
    let budget = budget();
    let mut holder = MemoryReservation::new(&budget);
    holder.set(OWN_BYTES + 100);
    let waiting = MemoryReservation::new(&budget);
    let longest = waiting.request(OWN_BYTES + 60, MemoryUse::LongMessage);
    let withdrawn = waiting.request(OWN_BYTES + 10, MemoryUse::LongMessage);
    let first = waiting.request(OWN_BYTES + 30, MemoryUse::LongMessage);
    let second = waiting.request(OWN_BYTES + 20, MemoryUse::LongMessage);
    drop(withdrawn);
    holder.set(OWN_BYTES + 60);
    assert!(!is_notified(&longest));
    assert!(is_notified(&first));
    // Only 10 bytes are left behind the first one.
    assert!(!is_notified(&second));
    drop(first);
    drop(holder);
    assert!(is_notified(&longest) && is_notified(&second));
}
