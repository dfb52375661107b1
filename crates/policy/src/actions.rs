//! The actions that the policy requests from the program that embeds it.
use crate::endpoint::ServerIndex;
use crate::request::CallIndex;
use crate::time::{Span, Time};

/// Carries out the policy's decisions. Actions take effect in the order in which they are called.
pub trait PolicyActions {
    /// Starts an attempt of this call at this server; the server's response is due by `deadline`.
    /// The last byte of the request must be written by `write_by`: if it were written later, the
    /// call could take effect twice, so the attempt must not be sent then.
    fn dispatch(&mut self, call: CallIndex, server: ServerIndex, deadline: Time, write_by: Time);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, call: CallIndex, attempt: usize);
    /// Rejects a call as having had no effect; the client may retry it after `retry_after`.
    fn rate_limit(&mut self, call: CallIndex, retry_after: Option<Span>);
    /// Responds to a call with an error.
    fn fail(&mut self, call: CallIndex);
    /// Reports that the policy no longer uses this call index; it may be reused for another API
    /// call.
    fn release_call(&mut self, call: CallIndex);
    /// Reports that the policy has discarded this server; its index may be reused for another
    /// server.
    fn release_server(&mut self, server: ServerIndex);
    /// Schedules a call of `Balancer::on_timer` after this duration.
    fn set_timer(&mut self, after: Span);
    /// Closes the idle connections to this server.
    fn close_idle_connections(&mut self, server: ServerIndex);
    /// Polls for updates of the endpoint list if they are not pushed; called again after a failed
    /// poll.
    fn poll_endpoints(&mut self) {}
}
