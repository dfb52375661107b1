//! Parsing of attribute lists.
use super::*;

#[test]
fn valid_list_is_parsed_and_malformed_ones_are_rejected() {
    let attributes =
        parse_attributes("c=read,t=us,d=480.5,r=1,size=3,k=", &Limits::default()).expect("a list");
    let (product, tenant, remaining) = (Some("read"), Some("us"), Span(480_500));
    assert_eq!(
        attributes,
        RequestAttributes {
            product,
            tenant,
            time_left: remaining,
            queueing_time: Span::ZERO,
            sent_by_other_process: false,
            has_idempotency_key: false,
            is_client_retry: true
        }
    );
    for malformed in [
        "", "c", "c=x", "c=x,,d=3", "c=x,d=", "d=-1", "d=NaN", "d=inf", "=x", "d=1e2", "d=1,d=2",
        "d=soon",
    ] {
        assert_eq!(
            parse_attributes(malformed, &Limits::default()),
            None,
            "{malformed:?}"
        );
    }
}
