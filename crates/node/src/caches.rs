//! What is said to cache servers, and what their replies mean.
use quartzhub_policy::{Outcome, Span};

use crate::limits::Limits;
use crate::reducer::Words;
use crate::resp::{self, Parsed, Reply};

/// How a server ended a shot.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub outcome: Outcome,
    /// The value or the write's receipt.
    pub value: Option<Vec<u8>>,
    /// The connection may carry another shot.
    pub reusable: bool,
}

/// The command for a cache server: as the client sent it, but with the time that the node will wait.
pub fn command(words: &Words, wait: Span) -> Vec<u8> {
    let mut out = Vec::new();
    let facts = facts(&words.facts, wait);
    let name: &[u8] = if words.value.is_some() { b"OBJ.SET" } else { b"OBJ.GET" };
    let head: [&[u8]; 4] = [name, words.key.as_bytes(), words.id.as_bytes(), facts.as_bytes()];
    match &words.value {
        Some(value) => resp::put_command(&mut out, &[head[0], head[1], head[2], head[3], value]),
        None => resp::put_command(&mut out, &head),
    }
    out
}

/// The client's list with the wait put in place of its own.
fn facts(given: &str, wait: Span) -> String {
    let wait = format!("d={}", (wait.as_ms() as i64).max(1));
    let mut facts: Vec<_> = given.split(',').filter(|fact| !fact.is_empty()).collect();
    match facts.iter_mut().find(|fact| fact.starts_with("d=")) {
        Some(fact) => *fact = &wait,
        None => facts.push(&wait),
    }
    facts.join(",")
}

pub fn answer(bytes: &[u8], limits: &Limits) -> Parsed<Answer> {
    let (reply, used) = match resp::reply(bytes, limits) {
        Parsed::Whole(reply, used) => (reply, used),
        Parsed::Part => return Parsed::Part,
        Parsed::Broken => return Parsed::Broken,
    };
    let reusable = used == bytes.len();
    let (outcome, value) = match &reply {
        Reply::Array(Some(items)) => match items.first() {
            Some(Reply::Bulk(Some(value))) => (Outcome::Fulfilled, Some(value.to_vec())),
            Some(Reply::Bulk(None)) => (Outcome::Miss, None),
            _ => (Outcome::Unknown, None),
        },
        Reply::Error(text) if text.split(|b| *b == b' ').next() == Some(b"BUSY") => (Outcome::Full, None),
        Reply::Error(_) => (Outcome::Broken, None),
        _ => (Outcome::Unknown, None),
    };
    Parsed::Whole(Answer { outcome, value, reusable }, used)
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn commands_go_on_unchanged_but_for_the_wait() {
        let words = |value: Option<&[u8]>, facts: &str| Words {
            key: "7f3a".into(),
            id: "9b1f".into(),
            facts: facts.into(),
            value: value.map(<[u8]>::to_vec),
        };
        let text = |words: Words| {
            String::from_utf8_lossy(&command(&words, Span::ms(123))).replace("\r\n", " ") + "\n"
        };
        let all = [
            text(words(None, "c=read,d=480")),
            text(words(Some(b"VALUE"), "c=put,d=480,k=5c0f")),
            text(words(None, "r=1,c=read,d=480")),
            text(words(None, "size=3")),
        ];
        expect![[r#"
            *4 $7 OBJ.GET $4 7f3a $4 9b1f $12 c=read,d=123 
            *5 $7 OBJ.SET $4 7f3a $4 9b1f $18 c=put,d=123,k=5c0f $5 VALUE 
            *4 $7 OBJ.GET $4 7f3a $4 9b1f $16 r=1,c=read,d=123 
            *4 $7 OBJ.GET $4 7f3a $4 9b1f $12 size=3,d=123 
        "#]]
        .assert_eq(&all.concat());
    }

    #[test]
    fn only_the_named_replies_prove_that_nothing_ran() {
        let limits = Limits::default();
        let replies = [
            "*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n",
            "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n",
            "-BUSY\r\n",
            "-BUSYBODY\r\n",
            "-ERR failed\r\n",
            "+OK\r\n",
            "$2\r\nab\r\n",
            "*0\r\n",
            "*-1\r\n",
        ];
        let told = replies.map(|reply| match answer(reply.as_bytes(), &limits) {
            Parsed::Whole(answer, _) => {
                let ran = if answer.outcome.proves_it_never_ran() { "never ran" } else { "may have run" };
                format!("{reply:?}: {:?}, {ran}\n", answer.outcome)
            }
            other => format!("{reply:?}: {other:?}\n"),
        });
        expect![[r#"
            "*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n": Fulfilled, may have run
            "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n": Miss, never ran
            "-BUSY\r\n": Full, never ran
            "-BUSYBODY\r\n": Broken, may have run
            "-ERR failed\r\n": Broken, may have run
            "+OK\r\n": Unknown, may have run
            "$2\r\nab\r\n": Unknown, may have run
            "*0\r\n": Unknown, may have run
            "*-1\r\n": Unknown, may have run
        "#]]
        .assert_eq(&told.concat());
    }
}
