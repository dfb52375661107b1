use super::*;

#[test]
fn one_node_of_ten_moves_attempt_time_by_less_than_40_percent() {
    let correct = vec![
        WeightedLoad {
            weight: 1.0,
            attempts_in_flight: 2.0,
            responses_per_second: 20.0
        };
        9
    ];
    let expected = attempt_time(&correct, 3.0).expect("nine nodes report a load");
    assert!((expected - 0.1).abs() < 1e-9);
    for (attempts_in_flight, responses_per_second) in
        [(1e6, 0.0), (0.0, 1e6), (1e6, 1e6), (0.0, 0.0)]
    {
        let reported = [
            correct.clone(),
            vec![WeightedLoad {
                weight: 1.0,
                attempts_in_flight,
                responses_per_second,
            }],
        ]
        .concat();
        let with_faulty = attempt_time(&reported, 3.0).expect("ten nodes report a load");
        assert!(
            (with_faulty / expected - 1.0).abs() < 0.4,
            "{attempts_in_flight} {responses_per_second}: {with_faulty}"
        );
    }
}
