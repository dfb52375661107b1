//! The limit on the rate of log lines.
use super::*;
use std::time::Duration;

#[test]
fn lines_above_the_rate_or_the_queue_are_dropped_and_counted() {
    let (queue, queued_lines) = sync_channel(3);
    let now = Instant::now();
    let mut limiter = LineLimiter {
        lines_per_second: 1.0,
        burst_lines: 2.0,
        tokens: 2.0,
        refilled_at: now,
        dropped: 0,
        queue,
    };
    (0..4).for_each(|i| limiter.write_line(format!("{i}\n").as_bytes(), now));
    // One second later there is a token for one line. The queue has space for the notice of dropped
    // lines, but not for the line itself.
    limiter.write_line(b"4\n", now + Duration::from_secs(1));
    let written: Vec<_> = queued_lines
        .try_iter()
        .map(|line| String::from_utf8_lossy(&line).into_owned())
        .collect();
    assert_eq!(written, ["0\n", "1\n", "quartzhub: 2 lines dropped\n"]);
    assert_eq!(limiter.dropped, 1);
}
