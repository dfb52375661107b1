//! Complete, partial and malformed HTTP responses.
use super::*;

#[test]
fn bodies_are_delimited_by_length_chunks_or_eof() {
    let sized = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP";
    for cut in 0..sized.len() - 4 {
        assert_eq!(
            parse_response(&sized[..cut], 9, false, &Limits::default()),
            Parsed::Incomplete,
            "cut at {cut}"
        );
    }
    let head = Head {
        status: 200,
        body: Body::ContentLength(3),
        keep_alive: true,
        unprocessed: false,
    };
    assert_eq!(
        parse_response(sized, 9, false, &Limits::default()),
        Parsed::Complete((head, b"abc".to_vec()), sized.len() - 4)
    );
    let chunked =
        b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\nX-Unprocessed: 1\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    let head = Head {
        status: 503,
        body: Body::Chunked,
        keep_alive: true,
        unprocessed: true,
    };
    assert_eq!(
        parse_response(chunked, 9, false, &Limits::default()),
        Parsed::Complete((head, b"ab".to_vec()), chunked.len())
    );
    let interim =
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nUpstream: </x>\r\n\r\n";
    for cut in 0..interim.len() {
        assert_eq!(
            parse_response(&interim[..cut], 9, false, &Limits::default()),
            Parsed::Incomplete,
            "cut at {cut}"
        );
    }
    let head = Head {
        status: 503,
        body: Body::Chunked,
        keep_alive: true,
        unprocessed: true,
    };
    let after_interim = [&interim[..], chunked].concat();
    assert_eq!(
        parse_response(&after_interim, 9, false, &Limits::default()),
        Parsed::Complete((head, b"ab".to_vec()), after_interim.len())
    );
    let until_close = b"HTTP/1.0 200 OK\n\nab";
    assert_eq!(
        parse_response(until_close, 9, false, &Limits::default()),
        Parsed::Incomplete
    );
    let head = Head {
        status: 200,
        body: Body::UntilClose,
        keep_alive: false,
        unprocessed: false,
    };
    assert_eq!(
        parse_response(until_close, 9, true, &Limits::default()),
        Parsed::Complete((head, b"ab".to_vec()), until_close.len())
    );
}

#[test]
fn garbage_and_oversized_bodies_are_malformed() {
    for bytes in [
        &b"+OK\r\n"[..],
        b"HTTP/1.1 20 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
        &b"HTTP/1.1 100 Continue\r\n\r\n".repeat(9),
        &b"HTTP/1.1 200 OK and on and on".repeat(999),
    ] {
        assert_eq!(
            parse_response(bytes, 9, false, &Limits::default()),
            Parsed::Malformed,
            "{bytes:?}"
        );
    }
}

#[test]
fn trailer_fields_belong_to_the_response() {
    let limits = Limits::default();
    let bytes =
        b"HTTP/1.1 200 \r\nTransfer-Encoding:  chunked \r\n\r\n00002;part=1\r\nab\r\nA\r\n0123456789\r\n\
        0\r\nX-Sum: 5f3a\r\nX-Done: 1\r\n\r\nHTTP";
    let length = bytes.len() - 4;
    for cut in 0..length {
        assert_eq!(
            parse_response(&bytes[..cut], 99, false, &limits),
            Parsed::Incomplete,
            "cut at {cut}"
        );
    }
    let head = Head {
        status: 200,
        body: Body::Chunked,
        keep_alive: true,
        unprocessed: false,
    };
    assert_eq!(
        parse_response(bytes, 99, false, &limits),
        Parsed::Complete((head, b"ab0123456789".to_vec()), length)
    );
    let endless = [&b"0\r\n"[..], &b"X: y\r\n".repeat(9_999)].concat();
    for bytes in [
        &b"0\r\nno colon\r\n\r\n"[..],
        b"g\r\n",
        b"3\r\nabcd\r\n",
        &endless,
    ] {
        assert_eq!(chunk(bytes, 9, &limits), Parsed::Malformed);
    }
}

/// Valid messages are changed, truncated or extended by a few bytes: any result but a panic is
/// fine.
#[test]
fn parsers_never_panic_on_mutated_messages() {
    let valid: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$6\r\nc=read\r\n",
        b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n*2\r\n:1\r\n$-1\r\n",
        b"-BUSY 9\r\n",
        b"3\r\nabc\r\n0\r\n\r\n",
    ];
    let limits = Limits {
        value_bytes: 64,
        ..Limits::default()
    };
    let mut rng = quartzhub_policy::Pcg::new(1);
    let mut below = |limit: usize| (rng.unit() * limit as f64) as usize;
    for round in 0..60_000 {
        let mut bytes = valid[round % valid.len()].to_vec();
        for _ in 0..1 + below(4) {
            let at = below(bytes.len());
            match below(4) {
                0 => bytes[at] = below(256) as u8,
                1 => bytes[at] = b"0123456789-*$\r\n"[below(15)],
                2 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, bytes[at]),
            }
        }
        let _ = (
            parse_response(&bytes, 64, round % 2 == 0, &limits),
            chunk(&bytes, 64, &limits),
        );
        let _ = (
            crate::resp::command(&bytes, &limits),
            crate::resp::reply(&bytes, &limits),
        );
    }
}
