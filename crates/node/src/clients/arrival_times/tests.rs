//! Arrival times of commands whose ends differ from those of reads.
use super::*;

fn at(ms: i64) -> Time {
    Time(ms * 1000)
}

#[test]
fn command_arrives_with_the_read_of_its_last_byte() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.read(at(10), 25, || None);
    arrivals.read(at(40), 10, || None);
    arrivals.read(at(90), 5, || None);
    // Two commands within the first read, one across its end, and one that ends with the last byte.
    assert_eq!(
        [10, 10, 8, 12].map(|count| arrivals.take(count)),
        [at(10), at(10), at(40), at(90)].map(Some)
    );
    assert!(arrivals.reads.is_empty());
    arrivals.read(at(200), 3, || None);
    assert_eq!(arrivals.take(3), Some(at(200)));
}

#[test]
fn small_reads_are_merged_and_never_dated_too_late() {
    let mut arrivals = ArrivalTimes::default();
    (0..10_000).for_each(|i| arrivals.read(Time(i * 10), 1, || None));
    assert!(
        arrivals.reads.len() <= 21,
        "{} reads kept",
        arrivals.reads.len()
    );
    for i in 0..10_000 {
        let arrived_at = arrivals.take(1).expect("a time");
        let read = Time(i * 10);
        assert!(
            arrived_at <= read && read - arrived_at < READ_MERGE_WINDOW,
            "byte {i}: {arrived_at:?}"
        );
    }
}

#[test]
fn unread_commands_date_from_the_pause_except_the_last() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.pause_reading(at(100));
    arrivals.pause_reading(at(300));
    // Two commands; the last byte arrived 50 ms before it was read.
    arrivals.read(at(400), 20, || Some(Span::ms(50)));
    assert_eq!(
        [arrivals.take(10), arrivals.take(10)],
        [Some(at(100)), Some(at(350))]
    );
    // Later reads of the same pause: the system reports no age, then an age before the pause.
    arrivals.read(at(400), 1, || None);
    arrivals.read(at(400), 7, || Some(Span::ms(9_000)));
    assert_eq!(
        [arrivals.take(1), arrivals.take(7)],
        [Some(at(100)), Some(at(100))]
    );
    arrivals.caught_up();
    arrivals.read(at(500), 10, || Some(Span::ms(90)));
    assert_eq!(arrivals.take(10), Some(at(500)));
    assert!(arrivals.reads.is_empty());
}

#[test]
fn command_with_suspended_reads_is_dated_earlier() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.read(at(100), 10, || None);
    arrivals.add_read_delay(Span::ms(300));
    arrivals.read(at(410), 10, || None);
    arrivals.read(at(450), 5, || None);
    arrivals.read(at(450), 5, || None);
    assert_eq!(arrivals.take(25), Some(at(150)));
    arrivals.read(at(500), 5, || None);
    assert_eq!(arrivals.take(10), Some(at(500)));
}
