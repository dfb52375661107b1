//! A queue of events ordered by time.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use quartzhub_policy::Time;

struct Scheduled<E> {
    at: Time,
    /// Number of the event in the order of scheduling, which decides between events of the same
    /// time.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Events of a simulation, the earliest first. Events of the same time are returned in the order in
/// which they were scheduled.
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue {
            events: BinaryHeap::new(),
            scheduled: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled {
            at,
            sequence: self.scheduled,
            event,
        }));
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.events.pop().map(|Reverse(next)| (next.at, next.event))
    }

    /// Removes and returns the next event if it is not later than `until`.
    pub fn pop_until(&mut self, until: Time) -> Option<(Time, E)> {
        if self
            .events
            .peek()
            .is_some_and(|Reverse(next)| next.at <= until)
        {
            self.pop()
        } else {
            None
        }
    }
}
