//! Arrival times of the bytes of a connection.

use latchhaven_gateway::arrivals::ArrivalTimes;

#[test]
fn arrival_of_consumed_bytes_is_that_of_the_last_one_within_a_bounded_number_of_chunks() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(10, 1.0);
    arrivals.record(10, 2.0);
    arrivals.record(30, 3.0);
    // The argument of `consume` is the number of bytes left in the buffer. The calls consume nothing; 4 bytes of the first chunk; its other
    // 6 and one of the next chunk; the rest.
    assert_eq!(
        [arrivals.consume(30), arrivals.consume(26), arrivals.consume(19), arrivals.consume(0)],
        [None, Some(1.0), Some(3.0), Some(3.0)]
    );
    (1..=1000).for_each(|n| arrivals.record(n, n as f64));
    // Chunks above the limit are merged with earlier ones: their bytes count as older than they are, never as newer.
    assert_eq!(
        (arrivals.consume(940), arrivals.consume(0), arrivals.buffered()),
        (Some(60.0), Some(64.0), 0)
    );
}
