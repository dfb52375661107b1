//! Commands and reads that do not end together.
use super::*;

fn at(ms: i64) -> Time {
    Time(ms * 1000)
}

#[test]
fn a_command_counts_from_the_read_of_its_last_byte() {
    let mut arrivals = Arrivals::default();
    arrivals.read(at(10), 25);
    arrivals.read(at(40), 10);
    arrivals.read(at(90), 5);
    // Two within the first read, one over its edge, and one that ends with the last byte of all.
    assert_eq!([10, 10, 8, 12].map(|count| arrivals.take(count)), [at(10), at(10), at(40), at(90)].map(Some));
    assert!(arrivals.reads.is_empty());
    arrivals.read(at(200), 3);
    assert_eq!(arrivals.take(3), Some(at(200)));
}

#[test]
fn a_slow_peers_pieces_are_kept_as_few_reads_that_are_never_too_late() {
    let mut arrivals = Arrivals::default();
    (0..10_000).for_each(|i| arrivals.read(Time(i * 10), 1));
    assert!(arrivals.reads.len() <= 21, "{} reads kept", arrivals.reads.len());
    for i in 0..10_000 {
        let told = arrivals.take(1).expect("a time");
        let read = Time(i * 10);
        assert!(told <= read && read - told < TOGETHER, "byte {i}: {told:?}");
    }
}
