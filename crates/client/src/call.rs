//! What one call does next, given how its tries ended. Pure: no socket, no clock, chance from outside.
//!
//! What is known of "never ran" follows the protocol row by row: a refusal (53300, 57P03), a connection that did not
//! come up, one that broke before the last byte was written. Anything else may have run.

use crate::budget::Budget;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Milliseconds, with fractions.
pub type Ms = f64;

/// Kept from the ends of spans that hosts and clients set: the way to a host and its clock.
const MARGIN: Ms = 20.0;
/// The first wait before a further try is drawn from 0 up to this, doubling with each.
const WAIT: Ms = 25.0;
const WAIT_MOST: Ms = 1_000.0;
/// A named time to come back is a least time: up to this part of it is added by chance.
const SPREAD: f64 = 0.5;
/// Tries of one call at most: a bound that the expiry reaches first where waits are drawn.
const TRIES_MOST: u32 = 8;

/// A moment on two clocks. A process that slept has a monotonic clock that stood still, and a wall clock may be set:
/// spans are taken as the longer of both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    pub steady: Ms,
    pub wall: Ms,
}

impl Moment {
    /// ms since an earlier moment, by the clock that saw more pass.
    pub fn since(&self, earlier: &Moment) -> Ms {
        (self.steady - earlier.steady).max(self.wall - earlier.wall).max(0.0)
    }
}

/// What the effect of a call allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May be sent again whatever happened.
    InquiryLike,
    /// May be sent again with its key, while hosts remember: so many ms from the first try that may have run.
    Referenced { remember: Ms },
    /// Never sent again once it may have run.
    OnceOnly,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Settled,
    /// It never ran; `come_back`: the least time in ms after which to try again, where one was named.
    Declined {
        come_back: Option<Ms>,
    },
    /// An error: it may have run.
    Failed,
    /// No connection came up, or it broke before the last byte was written: it never ran.
    NeverSent,
    /// The connection broke after that, or what came could not be read.
    Lost,
    /// Nothing came as long as was waited.
    Silent,
}

/// What a call comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Settled,
    /// It never ran: asking again later is harmless.
    Declined,
    /// It came to nothing, and asking again is harmless by its kind.
    Failed,
    /// It may have run, and nobody may send it again.
    Unknown,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Send it, as a repeat or not, after so many ms.
    Try { after: Ms, repeat: bool },
    /// Tell the caller.
    Give(Verdict),
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    effect: Effect,
    began: Moment,
    expiry: Ms,
    /// Time that a txn needs at least: nothing is sent with less left.
    least: Ms,
    tries: u32,
    /// The first try that may have run, from when its last byte may have gone out.
    ran: Option<Moment>,
    over: bool,
}

impl Call {
    /// A call that begins now and expires in so many ms.
    pub fn new(effect: Effect, expiry: Ms, least: Ms, now: Moment) -> Self {
        Call { effect, began: now, expiry, least: least.max(0.0), tries: 0, ran: None, over: false }
    }

    /// ms left until the expiry.
    pub fn left(&self, now: &Moment) -> Ms {
        self.expiry - now.since(&self.began)
    }

    /// Tries that were written, or might have been.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// What to do at the beginning.
    pub fn begin(&mut self, budget: &mut Budget, now: &Moment) -> Next {
        budget.first(now.steady);
        if self.left(now) < self.least {
            return self.give();
        }
        Next::Try { after: 0.0, repeat: false }
    }

    /// Whether a try may be written now, with how many ms told to the gateway. Asked just before writing: what waited
    /// for a connection may be late by then, or past the hosts' memory.
    pub fn write(&mut self, now: &Moment) -> Option<Ms> {
        let left = self.left(now);
        if self.over || left < self.least.max(1.0) || !self.may_send(now, 0.0) {
            return None;
        }
        self.tries += 1;
        Some(left)
    }

    /// Whether a try may go out after so many ms, by what may have run before.
    fn may_send(&self, now: &Moment, after: Ms) -> bool {
        match (self.effect, &self.ran) {
            (_, None) | (Effect::InquiryLike, _) => true,
            (Effect::OnceOnly, Some(_)) => false,
            (Effect::Referenced { remember }, Some(ran)) => now.since(ran) + after < remember - MARGIN,
        }
    }

    /// A try that was written at `sent` ended.
    pub fn ended(
        &mut self, end: End, sent: Moment, budget: &mut Budget, rng: &mut Pcg64Mcg, now: &Moment,
    ) -> Next {
        if self.over {
            return Next::Give(self.verdict());
        }
        let mut least_wait = 0.0;
        match end {
            End::Settled => {
                self.over = true;
                return Next::Give(Verdict::Settled);
            }
            End::Declined { come_back } => {
                let named = come_back.unwrap_or(0.0).max(0.0);
                least_wait = named * (1.0 + SPREAD * rng.random::<f64>());
            }
            End::NeverSent => {}
            End::Failed | End::Lost | End::Silent => {
                self.ran.get_or_insert(sent);
            }
        }
        let wait = (WAIT * f64::from(1u32 << self.tries.min(16))).min(WAIT_MOST) * rng.random::<f64>();
        let after = wait.max(least_wait);
        let in_time = self.left(now) - after >= self.least.max(1.0);
        // The budget is asked last: what is not sent spends nothing.
        let goes =
            self.tries < TRIES_MOST && in_time && self.may_send(now, after) && budget.further(now.steady);
        if goes { Next::Try { after, repeat: true } } else { self.give() }
    }

    /// No further try can be written: what the caller is told.
    pub fn give_up(&mut self) -> Verdict {
        self.over = true;
        self.verdict()
    }

    fn give(&mut self) -> Next {
        Next::Give(self.give_up())
    }

    fn verdict(&self) -> Verdict {
        match (self.effect, &self.ran) {
            (_, None) => Verdict::Declined,
            (Effect::InquiryLike, Some(_)) => Verdict::Failed,
            (Effect::Referenced { .. } | Effect::OnceOnly, Some(_)) => Verdict::Unknown,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rand::SeedableRng;

    fn at(ms: Ms) -> Moment {
        Moment { steady: ms, wall: 1e9 + ms }
    }

    fn first(effect: Effect) -> (Call, Budget, Pcg64Mcg) {
        let (mut call, mut budget) = (Call::new(effect, 2_000.0, 5.0, at(0.0)), Budget::default());
        assert_eq!(call.begin(&mut budget, &at(0.0)), Next::Try { after: 0.0, repeat: false });
        assert!(call.write(&at(0.0)).is_some());
        (call, budget, Pcg64Mcg::seed_from_u64(3))
    }

    #[test]
    fn a_once_only_call_whose_answer_was_lost_is_unknown_and_never_sent_again() {
        for end in [End::Lost, End::Failed, End::Silent] {
            let (mut call, mut budget, mut rng) = first(Effect::OnceOnly);
            let next = call.ended(end, at(0.0), &mut budget, &mut rng, &at(10.0));
            assert_eq!(next, Next::Give(Verdict::Unknown), "{end:?}");
            assert_eq!(call.write(&at(11.0)), None, "over");
        }
        for end in [End::NeverSent, End::Declined { come_back: None }] {
            let (mut call, mut budget, mut rng) = first(Effect::OnceOnly);
            let next = call.ended(end, at(0.0), &mut budget, &mut rng, &at(10.0));
            assert!(matches!(next, Next::Try { repeat: true, .. }), "{end:?}");
        }
    }

    #[test]
    fn a_named_time_is_a_least_time_and_none_beyond_the_expiry_is_waited_for() {
        for seed in 0..200 {
            let (mut call, mut budget, _) = first(Effect::InquiryLike);
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let end = End::Declined { come_back: Some(400.0) };
            match call.ended(end, at(0.0), &mut budget, &mut rng, &at(100.0)) {
                Next::Try { after, .. } => assert!((400.0..=600.0).contains(&after), "{after}"),
                other => panic!("{other:?}"),
            }
            let (mut call, mut budget, _) = first(Effect::InquiryLike);
            let end = End::Declined { come_back: Some(2_500.0) };
            let next = call.ended(end, at(0.0), &mut budget, &mut rng, &at(100.0));
            assert_eq!(next, Next::Give(Verdict::Declined));
            assert!(budget.further(100.0) && budget.further(100.0), "what is not sent spends nothing");
        }
    }

    #[test]
    fn a_process_that_slept_or_whose_clock_was_set_repeats_nothing_that_hosts_forgot() {
        let effect = Effect::Referenced { remember: 1_000.0 };
        for (steady, wall) in [(100.0, 60_000.0), (60_000.0, -90_000.0)] {
            let mut call = Call::new(effect, 100_000.0, 5.0, at(0.0));
            let (mut budget, mut rng) = (Budget::default(), Pcg64Mcg::seed_from_u64(1));
            call.begin(&mut budget, &at(0.0));
            call.write(&at(0.0));
            let now = Moment { steady, wall: 1e9 + wall };
            let next = call.ended(End::Lost, at(0.0), &mut budget, &mut rng, &now);
            assert_eq!(next, Next::Give(Verdict::Unknown), "{steady} {wall}");
        }
        // Drawn in time, but it waited for a connection until hosts had forgotten.
        let mut call = Call::new(effect, 100_000.0, 5.0, at(0.0));
        let (mut budget, mut rng) = (Budget::default(), Pcg64Mcg::seed_from_u64(1));
        call.begin(&mut budget, &at(0.0));
        call.write(&at(0.0));
        assert!(matches!(call.ended(End::Lost, at(0.0), &mut budget, &mut rng, &at(50.0)), Next::Try { .. }));
        assert_eq!(call.write(&at(990.0)), None);
        assert_eq!(call.give_up(), Verdict::Unknown);
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        /// Over any endings at any moments: at most one try of a once-only call that may have run, a referenced one
        /// sent again only while hosts remember, nothing written past the expiry, one result.
        #[test]
        fn every_call_keeps_the_rules(
            kind in 0u8..3, remember in 50.0f64..3_000.0, expiry in 1.0f64..5_000.0, seed: u64,
            ends in prop::collection::vec((0u8..6, 0.0f64..800.0, 0.0f64..800.0), 1..20)
        ) {
            let effect = match kind {
                0 => Effect::InquiryLike,
                1 => Effect::Referenced { remember },
                _ => Effect::OnceOnly,
            };
            let (mut call, mut rng) = (Call::new(effect, expiry, 5.0, at(0.0)), Pcg64Mcg::seed_from_u64(seed));
            let mut budget = Budget::default();
            let (mut now, mut ran, mut results): (Ms, Option<Ms>, u32) = (0.0, None, 0);
            let mut next = call.begin(&mut budget, &at(0.0));
            for (end, waits, took) in ends {
                let Next::Try { after, .. } = next else { break };
                now += after + waits;
                let Some(told) = call.write(&at(now)) else {
                    let verdict = call.give_up();
                    prop_assert!((verdict == Verdict::Declined) == ran.is_none());
                    results += 1;
                    break;
                };
                prop_assert!(now < expiry && told <= expiry - now + 1e-6);
                if let Some(first) = ran {
                    prop_assert!(effect != Effect::OnceOnly);
                    prop_assert!(kind == 0 || now - first < remember);
                }
                let sent = now;
                now += took;
                let come_back = Some(took);
                let end = [End::Settled, End::Declined { come_back }, End::Failed, End::NeverSent, End::Lost, End::Silent]
                    [end as usize];
                if matches!(end, End::Failed | End::Lost | End::Silent) {
                    ran = ran.or(Some(sent));
                }
                next = call.ended(end, at(sent), &mut budget, &mut rng, &at(now));
            }
            if let Next::Give(verdict) = next {
                results += 1;
                prop_assert!(verdict != Verdict::Unknown || (ran.is_some() && kind > 0));
                prop_assert!(verdict != Verdict::Declined || ran.is_none());
                prop_assert_eq!(call.write(&at(now)), None);
            }
            prop_assert!(results <= 1);
        }
    }
}
