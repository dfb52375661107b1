//! Requests to cache servers and their replies.
use super::*;
use expect_test::expect;

#[test]
fn requests_keep_all_but_the_time_left() {
    let request = |value: Option<&[u8]>, attributes: &str| Request {
        key: "7f3a".into(),
        id: "9b1f".into(),
        attributes: attributes.into(),
        value: value.map(bytes::Bytes::copy_from_slice),
    };
    let text = |request: Request| {
        String::from_utf8_lossy(&encode_request(&request, Span::ms(123))).replace("\r\n", " ")
            + "\n"
    };
    let all = [
        text(request(None, "c=read,d=480")),
        text(request(Some(b"VALUE"), "c=put,d=480,k=5c0f")),
        text(request(None, "r=1,c=read,d=480")),
        text(request(None, "size=3")),
    ];
    expect![[r#"
        *4 $7 OBJ.GET $4 7f3a $4 9b1f $12 c=read,d=123 
        *5 $7 OBJ.SET $4 7f3a $4 9b1f $18 c=put,d=123,k=5c0f $5 
        *4 $7 OBJ.GET $4 7f3a $4 9b1f $16 r=1,c=read,d=123 
        *4 $7 OBJ.GET $4 7f3a $4 9b1f $12 size=3,d=123 
    "#]]
    .assert_eq(&all.concat());
}

#[test]
fn only_misses_and_busy_replies_prove_no_execution() {
    let limits = Limits::default();
    let replies: [&[u8]; 20] = [
        b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n$2\r\nab\r\n$-1\r\n$-1\r\n*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n\xff\xfe",
        b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n\xff\xfe",
        b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$900\r\ncpu=",
        b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n*99999\r\n",
        b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n",
        b"-BUSY\r\n",
        b"-BUSYBODY\r\n",
        b"-BUSY \xff\r\n",
        b"-ERR failed\r\n",
        b"+OK\r\n",
        b"$2\r\nab\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*2\r\n$2\r\nab\r\n$3\r\nhit\r\n",
        b"*3\r\n$2\r\nabc\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n$2\r\nab\r\n$3\r\nh\xfft\r\n$-1\r\n",
        b"*3\r\n$3000000000\r\nab",
        b"*3\r\n$9\r\nab\r\n$3\r\nhit\r\n$-1\r\n",
    ];
    let outcomes = replies.map(|reply| {
        let text = reply.escape_ascii();
        match parse_response(reply, &limits) {
            Parsed::Complete(response, _) => {
                let ran = if response.outcome.proves_not_executed() {
                    "never ran"
                } else {
                    "may have run"
                };
                let upstream = if response.reusable { "kept" } else { "closed" };
                format!("{text}: {:?}, {ran}, {upstream}\n", response.outcome)
            }
            other => format!("{text}: {other:?}\n"),
        }
    });
    expect![[r#"
        *3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n: Success, may have run, kept
        *3\r\n$2\r\nab\r\n$-1\r\n$-1\r\n*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n: Success, may have run, closed
        *3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n\xff\xfe: Success, may have run, closed
        *3\r\n$2\r\nab\r\n$3\r\nhit\r\n\xff\xfe: Success, may have run, closed
        *3\r\n$2\r\nab\r\n$3\r\nhit\r\n$900\r\ncpu=: Success, may have run, closed
        *3\r\n$2\r\nab\r\n$3\r\nhit\r\n*99999\r\n: Success, may have run, closed
        *3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n: Miss, never ran, kept
        -BUSY\r\n: Overloaded, never ran, kept
        -BUSYBODY\r\n: ServerError, may have run, kept
        -BUSY \xff\r\n: Malformed
        -ERR failed\r\n: ServerError, may have run, kept
        +OK\r\n: Malformed
        $2\r\nab\r\n: Malformed
        *0\r\n: Malformed
        *-1\r\n: Malformed
        *2\r\n$2\r\nab\r\n$3\r\nhit\r\n: Malformed
        *3\r\n$2\r\nabc\r\n$3\r\nhit\r\n$-1\r\n: Malformed
        *3\r\n$2\r\nab\r\n$3\r\nh\xfft\r\n$-1\r\n: Malformed
        *3\r\n$3000000000\r\nab: Malformed
        *3\r\n$9\r\nab\r\n$3\r\nhit\r\n$-1\r\n: Malformed
    "#]].assert_eq(&outcomes.concat());
}

// Regression test: a reply whose length was too long lacked its last item, and was served.
#[test]
fn reply_with_a_wrong_length_has_no_value() {
    let limits = Limits::default();
    let value = "log-of-hole:eloh-fo-gol";
    let trailers = [
        "$3\r\nhit\r\n$-1\r\n",
        "$-1\r\n$-1\r\n",
        "$4\r\nmiss\r\n$7\r\ncpu=0.5\r\n",
        "$-1\r\n$7\r\ncpu=0.5\r\n",
    ];
    for trailer in trailers {
        for error in -16_i64..=32 {
            let stated = value.len() as i64 + error;
            let reply = format!("*3\r\n${stated}\r\n{value}\r\n{trailer}");
            // By itself, in part, and with a duplicate right behind.
            let parts = (0..=reply.len()).map(|end| reply[..end].to_owned());
            for bytes in parts.chain([reply.repeat(2)]) {
                if let Parsed::Complete(response, _) = parse_response(bytes.as_bytes(), &limits) {
                    assert_eq!(
                        (error, response.value),
                        (0, Some(value.into())),
                        "{bytes:?}"
                    );
                }
            }
        }
    }
}
