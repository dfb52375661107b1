//! Requests to the origin and the outcomes of its responses.
use super::*;
use expect_test::expect;

#[test]
fn reads_and_writes_are_encoded_as_get_and_put() {
    let call = |value: Option<&[u8]>| Request {
        key: "7f/3a 9".into(),
        id: "9b1f".into(),
        attributes: "c=put,d=480,k=5c".into(),
        value: value.map(bytes::Bytes::copy_from_slice),
    };
    let to = "127.0.0.1:80".parse().expect("an address");
    let text = |value| {
        String::from_utf8_lossy(&encode_request(&call(value), to, Span::ms(123)))
            .replace("\r\n", "|")
            + "\n"
    };
    expect![[r#"
        GET /7f%2F3a%209 HTTP/1.1|Host: 127.0.0.1:80|X-Correlation-Id: 9b1f|X-Facts: c=put,d=123,k=5c||
        PUT /7f%2F3a%209 HTTP/1.1|Host: 127.0.0.1:80|X-Correlation-Id: 9b1f|X-Facts: c=put,d=123,k=5c|Content-Length: 5||
    "#]]
    .assert_eq(&(text(None) + &text(Some(b"VALUE"))));
}

#[test]
fn error_counts_as_executed_unless_marked_unprocessed() {
    let limits = Limits::default();
    let outcomes = [
        "200 OK",
        "500 x",
        "503 x",
        "503 x\r\nX-Unprocessed: 1",
        "404 x",
    ]
    .map(|status| {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 1\r\n\r\nv");
        format!(
            "{status:?}: {:?}\n",
            parse_response(text.as_bytes(), false, &limits)
        )
    });
    expect![[r#"
        "200 OK": Complete(AttemptResponse { outcome: Success, value: Some([118]), reusable: true }, 39)
        "500 x": Complete(AttemptResponse { outcome: ServerError, value: None, reusable: true }, 38)
        "503 x": Complete(AttemptResponse { outcome: ServerError, value: None, reusable: true }, 38)
        "503 x\r\nX-Unprocessed: 1": Complete(AttemptResponse { outcome: Overloaded, value: None, reusable: true }, 56)
        "404 x": Complete(AttemptResponse { outcome: ServerError, value: None, reusable: true }, 38)
    "#]]
    .assert_eq(&outcomes.concat());
}
