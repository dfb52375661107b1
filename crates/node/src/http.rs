//! HTTP/1.1 answers, read with winnow: a head, then a body of known length, in chunks, or to the end.
use winnow::ascii::{dec_uint, hex_uint, space0};
use winnow::combinator::{delimited, opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::{take, take_while};
use winnow::Partial;

use crate::limits::Limits;
use crate::resp::{parsed, Parsed};

type Input<'a> = Partial<&'a [u8]>;

#[derive(Debug, PartialEq, Clone, Copy)]
pub enum Body {
    Counted(usize),
    Chunked,
    ToTheEnd,
}

#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Head {
    pub status: u16,
    pub body: Body,
    /// The connection may carry another exchange.
    pub keep: bool,
    /// The server says that the API call never ran.
    pub unprocessed: bool,
}

fn text<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    take_while(0.., |b| b != b'\r' && b != b'\n').parse_next(input)
}

fn eol<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    (opt(b'\r'), b'\n').take().parse_next(input)
}

fn field<'a>(input: &mut Input<'a>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = terminated(take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':'), b':');
    (name, delimited(space0, text, eol)).parse_next(input)
}

fn head_of(input: &mut Input, most_fields: usize) -> ModalResult<Head> {
    let version = preceded(b"HTTP/1.", terminated(take(1usize), b' ')).parse_next(input)?;
    let status = dec_uint::<_, u16, _>.verify(|code| (100..1000).contains(code)).parse_next(input)?;
    (text, eol).void().parse_next(input)?;
    let fields: Vec<(&[u8], &[u8])> = repeat(0..most_fields, field).parse_next(input)?;
    eol.void().parse_next(input)?;
    let values = |name: &'static [u8]| {
        let named = fields.iter().filter(move |field| field.0.eq_ignore_ascii_case(name));
        named.map(|field| field.1.trim_ascii())
    };
    let says = |name, word: &[u8]| values(name).next().is_some_and(|v| v.eq_ignore_ascii_case(word));
    let chunked = says(b"Transfer-Encoding", b"chunked");
    let mut counts = values(b"Content-Length");
    let count = counts.next();
    // Guards against an answer that tells two lengths: one of them is wrong.
    if counts.any(|other| Some(other) != count) || count.is_some() && chunked {
        return winnow::combinator::fail.parse_next(input);
    }
    let digits = |v: &&[u8]| v.iter().all(u8::is_ascii_digit);
    let parse = |v: &[u8]| std::str::from_utf8(v).ok().and_then(|v| v.parse().ok());
    let body = match count.map(|v| Some(v).filter(digits).and_then(parse)) {
        _ if chunked => Body::Chunked,
        Some(Some(count)) => Body::Counted(count),
        Some(None) => return winnow::combinator::fail.parse_next(input),
        None if status == 204 || status == 304 => Body::Counted(0),
        None => Body::ToTheEnd,
    };
    let keep = version == b"1" && !says(b"Connection", b"close") && body != Body::ToTheEnd;
    Ok(Head { status, body, keep, unprocessed: says(b"X-Unprocessed", b"1") })
}

/// The head of the final answer: 1xx answers ahead of it are skipped.
pub fn head(bytes: &[u8], limits: &Limits) -> Parsed<Head> {
    let mut used = 0;
    for _ in 0..=limits.http_interim {
        match parsed(&bytes[used..], |input: &mut Input| head_of(input, limits.http_fields)) {
            Parsed::Whole(head, count) if (100..200).contains(&head.status) => used += count,
            Parsed::Whole(head, count) => return Parsed::Whole(head, used + count),
            // Guards against waiting for the end of a head without end.
            Parsed::Part if bytes.len() - used > limits.http_head => break,
            other => return other,
        }
    }
    Parsed::Broken
}

/// One chunk; an empty one is the last, and the fields that may stand behind it go with it.
pub fn chunk<'a>(bytes: &'a [u8], most: usize, limits: &Limits) -> Parsed<&'a [u8]> {
    parsed(bytes, |input: &mut Input<'a>| {
        let count = terminated(hex_uint::<_, u32, _>, (text, eol)).parse_next(input)? as usize;
        // Guards against waiting for the end of fields without end.
        if count > most || count == 0 && input.len() > limits.http_head {
            return winnow::combinator::fail.parse_next(input);
        }
        if count == 0 {
            repeat::<_, _, (), _, _>(0..limits.http_fields, field).parse_next(input)?;
        }
        terminated(take(count), eol).parse_next(input)
    })
}

/// A whole answer with its body of so many bytes at the most; `ended`: nothing more will come.
pub fn answer(bytes: &[u8], most: usize, ended: bool, limits: &Limits) -> Parsed<(Head, Vec<u8>)> {
    let (head, mut used) = match head(bytes, limits) {
        Parsed::Whole(head, used) => (head, used),
        Parsed::Part => return Parsed::Part,
        Parsed::Broken => return Parsed::Broken,
    };
    let rest = &bytes[used..];
    match head.body {
        Body::Counted(count) if count > most => Parsed::Broken,
        Body::Counted(count) if rest.len() < count => Parsed::Part,
        Body::Counted(count) => Parsed::Whole((head, rest[..count].to_vec()), used + count),
        Body::ToTheEnd if rest.len() > most => Parsed::Broken,
        Body::ToTheEnd if ended => Parsed::Whole((head, rest.to_vec()), bytes.len()),
        Body::ToTheEnd => Parsed::Part,
        Body::Chunked => {
            let mut body = Vec::new();
            loop {
                match chunk(&bytes[used..], most, limits) {
                    Parsed::Whole([], count) => return Parsed::Whole((head, body), used + count),
                    Parsed::Whole(part, count) if body.len() + part.len() <= most => {
                        body.extend_from_slice(part);
                        used += count;
                    }
                    Parsed::Part => return Parsed::Part,
                    _ => return Parsed::Broken,
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bodies_by_count_in_chunks_and_to_the_end() {
        let counted = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP";
        for cut in 0..counted.len() - 4 {
            assert_eq!(answer(&counted[..cut], 9, false, &Limits::default()), Parsed::Part, "cut at {cut}");
        }
        let head = Head { status: 200, body: Body::Counted(3), keep: true, unprocessed: false };
        assert_eq!(
            answer(counted, 9, false, &Limits::default()),
            Parsed::Whole((head, b"abc".to_vec()), counted.len() - 4)
        );
        let chunked =
            b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\nX-Unprocessed: 1\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        let head = Head { status: 503, body: Body::Chunked, keep: true, unprocessed: true };
        assert_eq!(
            answer(chunked, 9, false, &Limits::default()),
            Parsed::Whole((head, b"ab".to_vec()), chunked.len())
        );
        let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nUpstream: </x>\r\n\r\n";
        for cut in 0..interim.len() {
            assert_eq!(answer(&interim[..cut], 9, false, &Limits::default()), Parsed::Part, "cut at {cut}");
        }
        let head = Head { status: 503, body: Body::Chunked, keep: true, unprocessed: true };
        let behind = [&interim[..], chunked].concat();
        assert_eq!(
            answer(&behind, 9, false, &Limits::default()),
            Parsed::Whole((head, b"ab".to_vec()), behind.len())
        );
        let open = b"HTTP/1.0 200 OK\n\nab";
        assert_eq!(answer(open, 9, false, &Limits::default()), Parsed::Part);
        let head = Head { status: 200, body: Body::ToTheEnd, keep: false, unprocessed: false };
        assert_eq!(
            answer(open, 9, true, &Limits::default()),
            Parsed::Whole((head, b"ab".to_vec()), open.len())
        );
    }

    #[test]
    fn garbage_and_bodies_over_the_limit_are_broken() {
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
            assert_eq!(answer(bytes, 9, false, &Limits::default()), Parsed::Broken, "{bytes:?}");
        }
    }

    #[test]
    fn fields_behind_the_last_chunk_belong_to_the_answer() {
        let limits = Limits::default();
        let bytes =
            b"HTTP/1.1 200 \r\nTransfer-Encoding:  chunked \r\n\r\n00002;part=1\r\nab\r\nA\r\n0123456789\r\n\
            0\r\nX-Sum: 5f3a\r\nX-Done: 1\r\n\r\nHTTP";
        let whole = bytes.len() - 4;
        for cut in 0..whole {
            assert_eq!(answer(&bytes[..cut], 99, false, &limits), Parsed::Part, "cut at {cut}");
        }
        let head = Head { status: 200, body: Body::Chunked, keep: true, unprocessed: false };
        assert_eq!(answer(bytes, 99, false, &limits), Parsed::Whole((head, b"ab0123456789".to_vec()), whole));
        let endless = [&b"0\r\n"[..], &b"X: y\r\n".repeat(9_999)].concat();
        for bytes in [&b"0\r\nno colon\r\n\r\n"[..], b"g\r\n", b"3\r\nabcd\r\n", &endless] {
            assert_eq!(chunk(bytes, 9, &limits), Parsed::Broken);
        }
    }

    /// Good messages with a few bytes changed, cut or doubled: any outcome is fine, a panic is not.
    #[test]
    fn no_bytes_make_a_parser_panic() {
        let good: [&[u8]; 6] = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$6\r\nc=read\r\n",
            b"*3\r\n$2\r\nab\r\n$3\r\nhit\r\n*2\r\n:1\r\n$-1\r\n",
            b"-BUSY 9\r\n",
            b"3\r\nabc\r\n0\r\n\r\n",
        ];
        let limits = Limits { value: 64, ..Limits::default() };
        let mut chance = quartzhub_policy::Pcg::new(1);
        let mut below = |most: usize| (chance.unit() * most as f64) as usize;
        for round in 0..60_000 {
            let mut bytes = good[round % good.len()].to_vec();
            for _ in 0..1 + below(4) {
                let at = below(bytes.len());
                match below(4) {
                    0 => bytes[at] = below(256) as u8,
                    1 => bytes[at] = b"0123456789-*$\r\n"[below(15)],
                    2 => bytes.truncate(at.max(1)),
                    _ => bytes.insert(at, bytes[at]),
                }
            }
            let _ = (answer(&bytes, 64, round % 2 == 0, &limits), chunk(&bytes, 64, &limits));
            let _ = (crate::resp::command(&bytes, &limits), crate::resp::reply(&bytes, &limits));
        }
    }
}
