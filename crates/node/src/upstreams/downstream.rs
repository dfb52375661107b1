//! The client of an attempt, as its upstream sees it.

/// The client whose attempt an upstream carries.
pub trait Downstream {
    /// Notifies the client that more bytes of its streamed value are available.
    fn on_bytes_available(&self);

    /// Whether the client has closed its sending side or its connection is broken, according to the
    /// kernel: the runtime may not have seen it yet.
    fn has_disconnected(&self) -> bool;

    /// Whether the client has sent bytes of a command that has not been taken yet: the node has read
    /// only a part of it, or nothing.
    fn has_untaken_input(&self) -> bool;
}
