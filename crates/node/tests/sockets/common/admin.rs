//! Calls of the admin API, as operators make them.
use super::*;

/// Sends bytes to the admin API and returns all that it sends back until it closes the connection.
pub fn admin_exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    stream.write_all(bytes).expect("sent");
    let mut received = String::new();
    stream.read_to_string(&mut received).expect("a close");
    received
}

/// Makes a call of the admin API and returns `status: body`.
pub fn admin_call(addr: SocketAddr, call: &str) -> String {
    let response = admin_exchange(
        addr,
        format!("{call} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes(),
    );
    let head = response
        .lines()
        .next()
        .unwrap_or_default()
        .replace("HTTP/1.1 ", "");
    let body = response.split_once("\r\n\r\n").map_or("", |parts| parts.1);
    format!("{head}: {body}").trim_end().to_owned()
}

/// Takes a node out of service, as operators do, by its admin API.
pub fn leave_service(addr: SocketAddr) {
    assert_eq!(
        admin_call(addr, "POST /control/out-of-service"),
        "200 OK: out of service"
    );
}
