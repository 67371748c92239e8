//! Admission of new streams: the limits of their rate and number, and the priority of proxies.

use latchhaven_xds::admission::{Admission, AdmissionResult};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

const MAX_ADMISSIONS_PER_MS: f64 = 2.0;
/// Streams that may be admitted in one call after an idle time.
const MAX_ADMISSION_BURST: f64 = 50.0;

#[test]
fn reconnect_storm_is_admitted_at_limited_rate_and_frequent_proxy_last() {
    let mut admission = Admission::new(10_000);
    for stream in 0..1000 {
        let proxy = if stream < 500 { "frequent".to_string() } else { format!("p{stream}") };
        assert_eq!(admission.request_slot(stream, &proxy, 0.0), AdmissionResult::SlotReserved);
    }
    let admitted: Vec<u64> = (0..=230).flat_map(|ms| admission.admit_pending(f64::from(ms))).collect();
    assert!(admitted.len() >= 505 && admitted.len() <= 512, "{}", admitted.len());
    assert!(
        admitted[1..500].iter().all(|stream| *stream >= 500),
        "streams of other proxies must be admitted before the frequent proxy's second one"
    );
}

#[test]
fn closing_a_stream_without_a_slot_frees_no_slot() {
    let mut admission = Admission::new(2);
    assert_eq!(admission.admit_load_report_stream(1), AdmissionResult::SlotReserved);
    assert_eq!(admission.admit_load_report_stream(2), AdmissionResult::SlotReserved);
    assert_eq!(admission.admit_load_report_stream(3), AdmissionResult::StreamLimitReached);
    for stream in [3, 4, 5] {
        admission.on_stream_closed(stream);
    }
    assert_eq!(admission.request_slot(6, "p", 0.0), AdmissionResult::StreamLimitReached);
    for _ in 0..2 {
        admission.on_stream_closed(1);
    }
    assert_eq!(admission.request_slot(6, "p", 0.0), AdmissionResult::SlotReserved);
    assert_eq!(admission.admit_load_report_stream(7), AdmissionResult::StreamLimitReached);
}

/// Counts the occupied slots by filling the free ones of a copy.
fn occupied_slots(admission: &Admission, max_streams: usize) -> usize {
    let mut copy = admission.clone();
    let mut probes = u64::MAX - max_streams as u64..u64::MAX;
    let free = probes
        .by_ref()
        .take_while(|probe| copy.admit_load_report_stream(*probe) == AdmissionResult::SlotReserved);
    max_streams - free.count()
}

/// Counts the pending streams by admitting all of them on a copy, which takes one call if they are fewer than a burst.
fn pending_streams(admission: &Admission) -> usize {
    let mut copy = admission.clone();
    let count = copy.admit_pending(f64::MAX).len();
    assert!(!copy.has_pending(), "one call must admit all pending streams");
    count
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    #[test]
    fn random_streams_stay_within_limit_and_rate(
        steps in prop::collection::vec((0u8..3, 0u64..40, 0u8..6), 0..300)
    ) {
        const MAX_STREAMS: usize = 30;
        let mut admission = Admission::new(MAX_STREAMS);
        let mut now = 0.0;
        let mut open = Vec::new();
        let mut next_stream = 0;
        let mut total_admitted = 0.0;
        for (action, random, proxy) in steps {
            match action {
                0 => {
                    next_stream += 1;
                    let was_full = occupied_slots(&admission, MAX_STREAMS) == MAX_STREAMS;
                    let result = admission.request_slot(next_stream, &format!("p{proxy}"), now);
                    prop_assert_eq!(result == AdmissionResult::StreamLimitReached, was_full);
                }
                1 => {
                    now += random as f64;
                    let admitted = admission.admit_pending(now);
                    total_admitted += admitted.len() as f64;
                    open.extend(admitted);
                }
                _ if !open.is_empty() => {
                    let index = random as usize % open.len();
                    admission.on_stream_closed(open.swap_remove(index));
                }
                _ => {}
            }
            let occupied = occupied_slots(&admission, MAX_STREAMS);
            let pending = pending_streams(&admission);
            prop_assert_eq!(open.len() + pending, occupied);
            prop_assert!(occupied <= MAX_STREAMS);
            prop_assert!(total_admitted <= MAX_ADMISSION_BURST + MAX_ADMISSIONS_PER_MS * now);
        }
    }
}
