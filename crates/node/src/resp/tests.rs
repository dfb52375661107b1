//! Complete, truncated and malformed RESP messages.
use super::*;

fn small_limits() -> Limits {
    Limits {
        value_bytes: 64,
        buffered_value_bytes: 64,
        ..Limits::default()
    }
}

#[test]
fn every_prefix_of_a_valid_message_is_incomplete() {
    let mut bytes = Vec::new();
    encode_command(
        &mut bytes,
        &[b"OBJ.SET", b"k", b"id", b"c=put,d=4", b"\r\n$3"],
    );
    for cut in 0..bytes.len() {
        assert_eq!(
            command(&bytes[..cut], &small_limits()),
            Parsed::Incomplete,
            "cut at {cut}"
        );
    }
    let request: Vec<&[u8]> = vec![b"OBJ.SET", b"k", b"id", b"c=put,d=4", b"\r\n$3"];
    assert_eq!(
        command(&bytes, &small_limits()),
        Parsed::Complete(request, bytes.len())
    );
    let response = b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\nrest";
    for cut in 0..response.len() - 4 {
        assert_eq!(
            reply(&response[..cut], &small_limits()),
            Parsed::Incomplete,
            "cut at {cut}"
        );
    }
    let bulk = |text: &'static [u8]| Reply::Bulk(Some(text));
    let items = vec![bulk(b"ab"), bulk(b"hit"), Reply::Bulk(None)];
    assert_eq!(
        reply(response, &small_limits()),
        Parsed::Complete(Reply::Array(Some(items)), response.len() - 4)
    );
}

#[test]
fn garbage_is_malformed_and_not_incomplete() {
    for bytes in [
        &b"GET / HTTP/1.1\r\n"[..],
        b"*-1\r\n",
        b"*99999999999999999999\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$65\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*17\r\n",
        b"\0\xff",
        b"*000000000000000000000000",
    ] {
        assert_eq!(
            command(bytes, &small_limits()),
            Parsed::Malformed,
            "{bytes:?}"
        );
    }
    for bytes in [
        &b"?\r\n"[..],
        b"$x\r\n",
        b"*999\r\n",
        b"*1\r\n*1\r\n*1\r\n*1\r\n:1\r\n",
        b"$2\r\nabc",
    ] {
        assert_eq!(
            reply(bytes, &small_limits()),
            Parsed::Malformed,
            "{bytes:?}"
        );
    }
}

#[test]
fn size_of_a_command_is_known_from_its_headers_whatever_its_form() {
    let limits = Limits::default();
    let size_of = |bytes: &[u8]| {
        let size = command_size(bytes, &limits);
        (size.bytes, size.is_final, size.last_item_bytes)
    };
    let head = b"*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$3\r\nd=1\r\n";
    let with_value = [&head[..], b"$4000000\r\nab"].concat();
    assert_eq!(size_of(head), (head.len(), false, 3));
    assert_eq!(
        size_of(&with_value),
        (head.len() + 10 + 4_000_002, true, 4_000_000)
    );
    // A wrong number of items, or a long item at another place.
    let of_six = [&b"*6"[..], &with_value[2..]].concat();
    assert_eq!(
        size_of(&of_six),
        (head.len() + 10 + 4_000_002, false, 4_000_000)
    );
    assert_eq!(size_of(b"*5\r\n$70000\r\n"), (12 + 70_002, false, 70_000));
    // What can't be read, or is too long, tells nothing of the rest.
    for bytes in [
        &b""[..],
        b"*",
        b"+5\r\n",
        b"*-1\r\n",
        b"*5\r\n$",
        b"*5\r\n$-1\r\n",
    ] {
        assert!(size_of(bytes).0 <= bytes.len() && !size_of(bytes).1);
    }
    assert_eq!(size_of(b"*5\r\n$60000000\r\n"), (4, false, 0));
}
