//! Responses that servers write late. A program of its own, as its many reads at the same time would
//! delay other tests.
mod amid;
#[allow(dead_code, unused_imports)]
#[path = "../sockets/common.rs"]
mod common;
mod late_servers;
mod machine;
mod responses;
mod site;
mod slow_values;
#[allow(dead_code)]
#[path = "../sockets/stub_servers.rs"]
mod stub_servers;
