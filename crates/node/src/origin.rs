//! What is said to the origin, over HTTP/1.1, and what its answers mean.
use std::net::SocketAddr;

use quartzhub_policy::{Outcome, Span};

use crate::caches::Answer;
use crate::http::{self, Body, Head};
use crate::limits::Limits;
use crate::resp::Parsed;
use crate::words::Words;

/// The request for the origin, with the time that the node will wait. A value follows behind it as the body.
pub fn request(words: &Words, to: SocketAddr, wait: Span) -> Vec<u8> {
    let method = if words.value.is_some() { "PUT" } else { "GET" };
    let key = path(&words.key);
    let (id, facts) = (&words.id, words.facts_with_wait(wait));
    let mut out =
        format!("{method} /{key} HTTP/1.1\r\nHost: {to}\r\nX-Correlation-Id: {id}\r\nX-Facts: {facts}\r\n")
            .into_bytes();
    if let Some(value) = &words.value {
        out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", value.len()).as_bytes());
    } else {
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A key as one segment of a path.
fn path(key: &str) -> String {
    let mut out = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte) {
            out.push(byte as char);
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

/// Where a body begins that is too large to be kept, and its size.
pub fn large(bytes: &[u8], limits: &Limits) -> Option<(usize, usize)> {
    match http::head(bytes, limits) {
        Parsed::Whole(Head { status: 200, body: Body::Counted(size), .. }, used) => {
            Some((used, size)).filter(|_| (limits.whole + 1..=limits.value).contains(&size))
        }
        _ => None,
    }
}

/// `ended`: the connection has.
pub fn answer(bytes: &[u8], ended: bool, limits: &Limits) -> Parsed<Answer> {
    let ((head, body), used) = match http::answer(bytes, limits.whole, ended, limits) {
        Parsed::Whole(answer, used) => (answer, used),
        Parsed::Part => return Parsed::Part,
        Parsed::Broken => return Parsed::Broken,
    };
    let (outcome, value) = match head.status {
        200 => (Outcome::Fulfilled, Some(body)),
        503 | 504 if head.unprocessed => (Outcome::Full, None),
        _ => (Outcome::Broken, None),
    };
    let reusable = head.keep && !ended && used == bytes.len();
    Parsed::Whole(Answer { outcome, value, reusable }, used)
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn reads_and_writes_as_requests() {
        let words = |value: Option<&[u8]>| Words {
            key: "7f/3a 9".into(),
            id: "9b1f".into(),
            facts: "c=put,d=480,k=5c".into(),
            value: value.map(bytes::Bytes::copy_from_slice),
        };
        let to = "127.0.0.1:80".parse().expect("an address");
        let text = |value| {
            String::from_utf8_lossy(&request(&words(value), to, Span::ms(123))).replace("\r\n", "|") + "\n"
        };
        expect![[r#"
            GET /7f%2F3a%209 HTTP/1.1|Host: 127.0.0.1:80|X-Correlation-Id: 9b1f|X-Facts: c=put,d=123,k=5c||
            PUT /7f%2F3a%209 HTTP/1.1|Host: 127.0.0.1:80|X-Correlation-Id: 9b1f|X-Facts: c=put,d=123,k=5c|Content-Length: 5||
        "#]]
        .assert_eq(&(text(None) + &text(Some(b"VALUE"))));
    }

    #[test]
    fn an_error_may_have_run_unless_marked() {
        let limits = Limits::default();
        let told = ["200 OK", "500 x", "503 x", "503 x\r\nX-Unprocessed: 1", "404 x"].map(|status| {
            let text = format!("HTTP/1.1 {status}\r\nContent-Length: 1\r\n\r\nv");
            format!("{status:?}: {:?}\n", answer(text.as_bytes(), false, &limits))
        });
        expect![[r#"
            "200 OK": Whole(Answer { outcome: Fulfilled, value: Some([118]), reusable: true }, 39)
            "500 x": Whole(Answer { outcome: Broken, value: None, reusable: true }, 38)
            "503 x": Whole(Answer { outcome: Broken, value: None, reusable: true }, 38)
            "503 x\r\nX-Unprocessed: 1": Whole(Answer { outcome: Full, value: None, reusable: true }, 56)
            "404 x": Whole(Answer { outcome: Broken, value: None, reusable: true }, 38)
        "#]]
        .assert_eq(&told.concat());
    }
}
