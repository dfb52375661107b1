//! Tests of the reducer without sockets: its effects are printed as a short trace and compared.
mod builder;
mod calls;
mod clients;
mod common;
mod endpoint_list;
mod endpoint_list_properties;
mod random;
mod rejections;
mod remaining;
mod stalled_responses;
mod trace;
mod upstream_reuse;
mod upstream_waits;
mod upstreams;
