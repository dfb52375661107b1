//! The reducer without sockets: what it asks for, as a short printed trace.
mod calls;
mod clients;
mod common;
mod endpoint_list;
mod endpoint_list_properties;
mod random;
mod rejections;
mod remaining;
mod trace;
mod upstreams;
