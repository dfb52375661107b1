//! The reducer without sockets: what it asks for, as a short printed trace.
mod calls;
mod clients;
mod common;
mod lists;
mod random;
mod remaining;
mod turned_away;
mod upstreams;
