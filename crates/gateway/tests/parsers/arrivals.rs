//! When the bytes of a connection arrived.

use latchhaven_gateway::arrivals::ArrivalTimes;

#[test]
fn arrival_of_consumed_bytes_is_that_of_the_last_one_within_a_bounded_number_of_chunks() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(10, 1.0);
    arrivals.record(10, 2.0);
    arrivals.record(30, 3.0);
    // Consumes nothing; 4 of the first 10 bytes; the other 6 and one more; the rest.
    assert_eq!(
        [arrivals.consume(30), arrivals.consume(26), arrivals.consume(19), arrivals.consume(0)],
        [None, Some(1.0), Some(3.0), Some(3.0)]
    );
    (1..=1000).for_each(|n| arrivals.record(n, n as f64));
    // Beyond the bound, arrival times are too early, never too late.
    assert_eq!(
        (arrivals.consume(940), arrivals.consume(0), arrivals.buffered()),
        (Some(60.0), Some(64.0), 0)
    );
}
