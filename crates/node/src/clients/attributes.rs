//! Parses the attribute list that a client sends with an API call.
use quartzhub_policy::Span;
use winnow::combinator::{opt, separated, separated_pair};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::limits::Limits;
use crate::messages::RequestAttributes;

#[cfg(test)]
mod tests;

/// Parses an attribute list such as `c=read,d=480`; unknown names are ignored. Returns `None` if
/// the list is malformed, a name is repeated, or the remaining time (`d`) is missing or not a
/// number.
pub fn parse_attributes<'a>(mut list: &'a str, limits: &Limits) -> Option<RequestAttributes<'a>> {
    let pairs = attribute_pairs.parse_next(&mut list).ok()?;
    let is_repeated = |(index, pair): (usize, &Attribute)| {
        pairs[..index].iter().any(|other| other.name == pair.name)
    };
    if !list.is_empty() || pairs.iter().enumerate().any(is_repeated) {
        return None;
    }
    let value_of = |name: &str| {
        pairs
            .iter()
            .find(|pair| pair.name == name)
            .map(|pair| pair.value)
    };
    let is_decimal = |text: &&str| text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let time_left_ms = value_of("d")
        .filter(is_decimal)?
        .parse::<f64>()
        .ok()
        .filter(|ms| ms.is_finite())?;
    Some(RequestAttributes {
        product: value_of("c"),
        tenant: value_of("t"),
        time_left: Span::from_ms(time_left_ms).min(limits.longest_client_timeout),
        queueing_time: Span::ZERO,
        sent_by_other_process: false,
        has_idempotency_key: value_of("k").is_some_and(|key| !key.is_empty()),
        is_client_retry: value_of("r") == Some("1"),
    })
}

/// One `name=value` pair.
struct Attribute<'a> {
    name: &'a str,
    value: &'a str,
}

fn attribute_pairs<'a>(input: &mut &'a str) -> winnow::Result<Vec<Attribute<'a>>> {
    let name = take_while(1.., |c| c != '=' && c != ',');
    let value = take_while(0.., |c| c != ',');
    let attribute = separated_pair(name, '=', value).map(|(name, value)| Attribute { name, value });
    let attributes = separated(1.., attribute, ',').parse_next(input)?;
    opt(',').parse_next(input)?;
    Ok(attributes)
}
