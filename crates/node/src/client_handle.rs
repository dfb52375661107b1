//! What the performer of effects asks of a client's connection.
use std::rc::Rc;

use quartzhub_policy::Span;

use crate::messages::Response;
use crate::upstreams::{Downstream, Upstream};

/// A client's connection, as the executor uses it.
pub trait ClientHandle: Downstream {
    /// Writes a response, or queues it behind others. Returns the counted size of all responses
    /// that are now completely written. `upstream` carries the value of a streamed response.
    fn send(&self, response: Response, upstream: Option<Rc<Upstream>>) -> usize;

    /// Closes the connection once its responses are written and no bytes have arrived for
    /// `quiet_period`.
    fn close_after_quiet_period(&self, quiet_period: Span);

    /// Closes the connection once its responses are written, even if the client sends more.
    fn drain(&self);

    /// Has the incomplete command evicted, as others wait for its memory, if nothing of its rest has
    /// arrived.
    fn request_eviction(&self);

    /// Closes the connection without waiting for more late input, once its responses are delivered.
    fn end_linger(&self);

    /// Whether the sending side has been shut down, so that no command on it awaits a response.
    fn is_write_closed(&self) -> bool;

    /// Breaks off the streamed value: the client gets an error in its place, or, if a part of it is
    /// written, the end of the connection behind that part. Returns whether the connection ends.
    fn break_off_value(&self) -> bool;
}
