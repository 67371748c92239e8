//! When streams may begin. A crowd that returns all at once is let in at a bounded rate, while those that are served
//! already go on being served; what waits is bounded, and each waits its turn.

use latchhaven_policy::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Streams that begin per ms at most: each costs a whole state, some tens of KiB, so that a second of it is 100 MiB.
const RATE: f64 = 2.0;
/// Streams that may begin at once.
const BURST: f64 = 50.0;
/// ms after which a proxy's next stream counts as its usual one: sooner, it waits behind those that come once.
const OFTEN: Millis = 1_000.0;
/// Proxies whose last beginning is remembered.
const KEPT: usize = 10_000;

/// A beginning that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// It waits for its turn.
    Queued,
    /// There are too many: come again later.
    Full,
}

/// Who waits, and who began when.
#[derive(Clone, Debug)]
pub struct Admission {
    most: usize,
    open: BTreeSet<u64>,
    saved: f64,
    at: Option<Millis>,
    waiting: VecDeque<u64>,
    /// Those that come again and again: only when nobody else waits.
    again: VecDeque<u64>,
    begun: BTreeMap<String, Millis>,
}

impl Admission {
    /// Holds so many streams at most, waiting or open.
    pub fn new(most: usize) -> Self {
        let (open, waiting, again, begun) = Default::default();
        Admission { most, open, saved: BURST, at: None, waiting, again, begun }
    }

    /// A stream of a proxy wants to begin.
    pub fn request_slot(&mut self, stream: u64, proxy: &str, now: Millis) -> AdmissionResult {
        if self.full() {
            return AdmissionResult::Full;
        }
        let often = self.begun.get(proxy).is_some_and(|last| now - last < OFTEN);
        if often {
            self.again.push_back(stream)
        } else {
            self.waiting.push_back(stream)
        }
        if self.begun.len() >= KEPT && !self.begun.contains_key(proxy) {
            self.begun.retain(|_, last| now - *last < OFTEN);
        }
        if self.begun.len() < KEPT || self.begun.contains_key(proxy) {
            self.begun.insert(proxy.to_string(), now);
        }
        AdmissionResult::Queued
    }

    /// A stream that is sent next to nothing begins at once, if there is room for it.
    pub fn admit_load_reports(&mut self, stream: u64) -> AdmissionResult {
        if self.full() {
            return AdmissionResult::Full;
        }
        self.open.insert(stream);
        AdmissionResult::Queued
    }

    fn full(&self) -> bool {
        self.open.len() + self.waiting.len() + self.again.len() >= self.most
    }

    /// Those whose turn it is.
    pub fn poll(&mut self, now: Millis) -> Vec<u64> {
        let since = now - self.at.replace(now).unwrap_or(now);
        self.saved = (self.saved + RATE * since.max(0.0)).min(BURST);
        let mut begin = Vec::new();
        while self.saved >= 1.0 {
            let Some(stream) = self.waiting.pop_front().or_else(|| self.again.pop_front()) else { break };
            self.saved -= 1.0;
            self.open.insert(stream);
            begin.push(stream);
        }
        begin
    }

    /// Somebody waits.
    pub fn has_pending(&self) -> bool {
        !self.waiting.is_empty() || !self.again.is_empty()
    }

    /// A stream ended, begun or not; one that never knocked, or was told of before, takes nobody's place.
    pub fn on_stream_closed(&mut self, stream: u64) {
        if !self.open.remove(&stream) {
            self.waiting.retain(|waiting| *waiting != stream);
            self.again.retain(|waiting| *waiting != stream);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_crowd_begins_at_the_rate_and_one_that_comes_again_and_again_waits_longest() {
        let mut door = Admission::new(10_000);
        for stream in 0..1000 {
            let proxy = if stream < 500 { "noisy".to_string() } else { format!("p{stream}") };
            assert_eq!(door.request_slot(stream, &proxy, 0.0), AdmissionResult::Queued);
        }
        let first: Vec<u64> = (0..=230).flat_map(|ms| door.poll(f64::from(ms))).collect();
        assert!(first.len() >= 505 && first.len() <= 512, "{}", first.len());
        assert!(first[1..500].iter().all(|stream| *stream >= 500), "one noisy proxy starves nobody");
    }

    #[test]
    fn a_stream_that_never_began_frees_no_place_when_it_ends() {
        let mut door = Admission::new(2);
        assert_eq!(
            (door.admit_load_reports(1), door.admit_load_reports(2), door.admit_load_reports(3)),
            (AdmissionResult::Queued, AdmissionResult::Queued, AdmissionResult::Full)
        );
        [3, 4, 5].into_iter().for_each(|stream| door.on_stream_closed(stream));
        assert_eq!(door.request_slot(6, "p", 0.0), AdmissionResult::Full);
        (0..2).for_each(|_| door.on_stream_closed(1));
        assert_eq!(
            (door.request_slot(6, "p", 0.0), door.admit_load_reports(7)),
            (AdmissionResult::Queued, AdmissionResult::Full)
        );
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        #[test]
        fn never_more_than_the_most_nor_faster_than_the_rate(
            steps in prop::collection::vec((0u8..3, 0u64..40, 0u8..6), 0..300)
        ) {
            let (mut door, mut now, mut begun, mut next) = (Admission::new(30), 0.0, Vec::new(), 0);
            let mut total = 0.0;
            for (kind, pick, proxy) in steps {
                match kind {
                    0 => {
                        next += 1;
                        door.request_slot(next, &format!("p{proxy}"), now);
                    }
                    1 => {
                        now += pick as f64;
                        let new = door.poll(now);
                        total += new.len() as f64;
                        begun.extend(new);
                    }
                    _ if !begun.is_empty() => door.on_stream_closed(begun.swap_remove(pick as usize % begun.len())),
                    _ => {}
                }
                let open = door.open.len();
                prop_assert!(begun.len() == open && open + door.waiting.len() + door.again.len() <= 30);
                prop_assert!(total <= BURST + RATE * now);
            }
        }
    }
}
