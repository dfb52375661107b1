use super::*;

/// How long a client may take nothing.
const STALL_TIMEOUT: Span = Span::ms(100);

fn at(ms: i64) -> Time {
    Time(0) + Span::ms(ms)
}

#[test]
fn delivery_lasts_until_all_is_sent_or_the_client_stalls() {
    let mut delivery = Delivery::default();
    let looks = [
        (1_000, 0, true),
        (1_010, 50, false),
        (1_100, 50, false),
        (1_110, 50, true),
        (1_120, 40, false),
        (1_219, 40, false),
        (1_220, 40, true),
        (1_230, 0, true),
    ];
    for (ms, unsent, expected) in looks {
        assert_eq!(
            delivery.is_over(at(ms), unsent, STALL_TIMEOUT),
            expected,
            "at {ms} ms"
        );
    }
}
