//! Time until the next watch is opened, for sequences of watches that time out.
use super::*;

/// A watch that received an update.
const UPDATED: WatchOutcome = WatchOutcome {
    lived: Some(Span::ZERO),
    version_changed: true,
};
/// A watch that received no complete line.
const SILENT: WatchOutcome = WatchOutcome {
    lived: None,
    version_changed: false,
};

/// A watch that delivered keep-alives for this long.
fn without_changes(lived: Span) -> WatchOutcome {
    WatchOutcome {
        lived: Some(lived),
        version_changed: false,
    }
}

// Regression test: the backoff grew over watches that were reset with no change between, and drains
// of the next moment were known up to a second late.
#[test]
fn watches_that_have_lived_are_reopened_at_once() {
    let limits = Limits::default();
    let mut rng = Pcg::new(1);
    let mut backoff = Backoff::new(&limits);
    let longest_first = limits.watch_first_backoff.times(MIN_JITTER + 1.0);
    for _ in 0..100 {
        let delay = backoff.next_delay(without_changes(Span::ms(800)), &mut rng);
        assert!(delay <= longest_first, "{delay:?}");
    }
    // Also behind an outage.
    for _ in 0..10 {
        backoff.next_delay(SILENT, &mut rng);
    }
    let delay = backoff.next_delay(without_changes(Span::ms(800)), &mut rng);
    assert!(delay <= longest_first, "{delay:?}");
}

// What the backoff is there for: a discovery that ends each watch behind its first line.
#[test]
fn watches_that_end_at_once_are_reopened_ever_later() {
    let limits = Limits::default();
    let mut rng = Pcg::new(1);
    let mut backoff = Backoff::new(&limits);
    let delays = (0..10).map(|_| backoff.next_delay(without_changes(Span::ms(10)), &mut rng));
    let shortest = limits.watch_longest_backoff.times(MIN_JITTER);
    assert!(delays.last() >= Some(shortest));
}

/// Updates that a silent watch has missed count as notified after 6 s, and the list of a newly
/// configured discovery 4 s after SIGHUP, received or not. Another watch has to be opened before
/// that, even if one or two in a row time out.
#[test]
fn timeouts_in_a_row_end_before_updates_count_as_notified() {
    let limits = Limits::default();
    for seed in 0..200 {
        let mut rng = Pcg::new(seed);
        // An established watch times out, the next receives nothing: when is the third opened?
        let mut backoff = Backoff::new(&limits);
        let established = limits.watch_silence_timeout + backoff.next_delay(UPDATED, &mut rng);
        let next = established + backoff.open_timeout() + backoff.next_delay(SILENT, &mut rng);
        assert!(next < Span::ms(5_000), "opened after {next:?}");
        // Newly configured discovery: the first two watches receive nothing.
        let mut backoff = Backoff::new(&limits);
        let first = backoff.open_timeout() + backoff.next_delay(SILENT, &mut rng);
        let second = first + backoff.open_timeout() + backoff.next_delay(SILENT, &mut rng);
        assert!(second < Span::ms(3_500), "opened after {second:?}");
    }
}

/// Discovery is unavailable for any number of watches, and returns at the worst moment: just after
/// a failed watch was opened. The first watch after that times out too. The one after it has to be
/// opened before the updates of discovery count as notified (6 s).
#[test]
fn two_timeouts_end_in_time_after_any_outage_of_discovery() {
    let limits = Limits::default();
    for outage in 0..40 {
        for seed in 0..50 {
            let mut rng = Pcg::new(seed);
            let mut backoff = Backoff::new(&limits);
            let mut longest = Span::ZERO;
            for _ in 0..outage {
                backoff.next_delay(SILENT, &mut rng);
                longest = longest.max(backoff.open_timeout());
            }
            let failed = backoff.open_timeout() + backoff.next_delay(SILENT, &mut rng);
            let second = failed + backoff.open_timeout() + backoff.next_delay(SILENT, &mut rng);
            assert!(
                second < Span::ms(5_800),
                "outage of {outage} watches: opened after {second:?}"
            );
            // A slow discovery regularly gets the longer timeout.
            assert!(
                outage < 3 || longest == limits.watch_slow_open_timeout,
                "outage of {outage} watches: longest timeout {longest:?}"
            );
        }
    }
}
