//! API calls as passed to the policy.
use crate::time::Span;

/// An API call's index, assigned by the caller; it may be reused after
/// `PolicyActions::release_call`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallIndex(pub usize);

/// A new API call.
#[derive(Debug, Clone, Copy)]
pub struct CallRequest<'a> {
    /// The product's index in the settings; out of their range if unknown.
    pub product: usize,
    /// The tenant's index in the settings; out of their range if unknown.
    pub tenant: usize,
    /// The key, if the call has one.
    pub key: Option<&'a str>,
    /// Whether the call is a write.
    pub write: bool,
    /// Whether the client marks the call as a retry of an earlier one.
    pub client_retry: bool,
    /// Time until the client gives up.
    pub time_left: Span,
}
