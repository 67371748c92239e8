//! Settings like those of a small deployment: the booking servers', the pharmacy's and the core library's, from their briefs and
//! site files.

/// The appointment booking servers: one data centre, releases beside each other, caps by class, keys that do not return.
pub fn booking() -> String {
    r#"{"me":0,"replicas-of-me":3,"azs":["ba-dc1"],"locality":"ba-dc1","registry-mode":"subscribe",
    "classes":[
     {"name":"slot-lookup","aim-s":0.2,"hard-limit-s":0.6,"effect":"idempotent","group":"all","dedup-window-s":5.0,"gain":1.0,"late-share":0.0,"stream":false},
     {"name":"applicant-save","aim-s":0.5,"hard-limit-s":2.0,"effect":"idempotent","group":"all","dedup-window-s":5.0,"gain":1.0,"late-share":0.2,"stream":false},
     {"name":"book-slot","aim-s":0.4,"hard-limit-s":1.2,"effect":"deduplicated","group":"all","dedup-window-s":2.5,"gain":2.0,"late-share":0.0,"stream":false}],
    "domain":{"allowance":2.0,"api-timeout-s":1.2,"auto-after-s":0.0,"calls-per-s":250.0,"caps":[0.085,0.34,0.85,1.0],"closed-stages":1,
     "counts":"per_lane","no-return":true,"soak-s":1.5,"steps":[0.05,0.2,0.5,1.0],"style":"side_by_side","tally-s":2.0,"to-pause":0,
     "told-every-s":2.0,"vote-mode":"single","vote-ttl-s":4.0,"votes-to-go":1,"votes-to-revert":1,"window-s":3.0,"flag-share":0.15},
    "load-report":{"fields":["rate","q"],"via":"piggyback"},
    "permissions":{"cancelling":true,"second-copies":false,"try-limit":6,"probes":false,"peers":true,"retry-after":true,"max-retry-after-s":1.0,
     "conn-idle-s":15.0,"dial-timeout-s":0.25},
    "prices":{"cross-zone":0.0},
    "rules":{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":0.33,"drain-grace-s":0.5,"fall-s":3.0,"tip-multiple":2.0,"warm-up-s":4.5}}"#
        .to_string()
}

/// The pharmacy's order hosts: two sites, each earlier host is drained once its successor runs, one cap for all products.
pub fn pharmacy() -> String {
    r#"{"me":0,"replicas-of-me":3,"azs":["malaga","welshpool"],"locality":"malaga","registry-mode":"subscribe",
    "classes":[
     {"name":"repeat-check","aim-s":0.75,"hard-limit-s":3.0,"effect":"idempotent","group":"all","dedup-window-s":5.0,"gain":1.0,"late-share":0.0,"stream":false},
     {"name":"med-history","aim-s":1.5,"hard-limit-s":5.0,"effect":"idempotent","group":"all","dedup-window-s":5.0,"gain":1.0,"late-share":0.0,"stream":false},
     {"name":"place-order","aim-s":0.6,"hard-limit-s":1.5,"effect":"deduplicated","group":"all","dedup-window-s":3.0,"gain":5.0,"late-share":0.0,"stream":false},
     {"name":"take-payment","aim-s":1.5,"hard-limit-s":4.0,"effect":"at_most_once","group":"all","dedup-window-s":5.0,"gain":2.0,"late-share":0.2,"stream":false}],
    "domain":{"allowance":1.0,"api-timeout-s":1.2,"auto-after-s":0.0,"calls-per-s":150.0,"caps":[0.036,0.144,0.48,1.0],"closed-stages":0,
     "counts":"all","no-return":false,"soak-s":2.0,"steps":[0.03,0.12,0.4,1.0],"style":"rolling","tally-s":2.0,"to-pause":0,
     "told-every-s":6.0,"vote-mode":"single","vote-ttl-s":6.0,"votes-to-go":1,"votes-to-revert":1,"window-s":2.0,"flag-share":0.0},
    "load-report":{"fields":["rate","rif"],"via":"pull"},
    "permissions":{"cancelling":true,"second-copies":true,"try-limit":3,"probes":true,"peers":false,"retry-after":false,"max-retry-after-s":1.0,
     "conn-idle-s":30.0,"dial-timeout-s":0.25},
    "prices":{"cross-zone":0.01},
    "rules":{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":0.41,"drain-grace-s":2.0,"fall-s":1.5,"tip-multiple":3.0,"warm-up-s":4.9}}"#
        .to_string()
}

/// The core library's catalogue nodes: three sites, releases beside each other, a loan's key is known at one site.
pub fn library() -> String {
    r#"{"me":0,"replicas-of-me":3,"azs":["kingston","spanish-town","old-harbour"],"locality":"kingston","registry-mode":"subscribe",
    "classes":[
     {"name":"box-lookup","aim-s":0.5,"hard-limit-s":2.0,"effect":"idempotent","group":"all","dedup-window-s":5.0,"gain":1.0,"late-share":0.0,"stream":false},
     {"name":"log-fetch","aim-s":0.8,"hard-limit-s":3.0,"effect":"idempotent","group":"all","dedup-window-s":5.0,"gain":3.0,"late-share":0.0,"stream":false},
     {"name":"sample-loan","aim-s":0.8,"hard-limit-s":3.0,"effect":"deduplicated","group":"zone","dedup-window-s":6.0,"gain":3.0,"late-share":0.2,"stream":false}],
    "domain":{"allowance":2.0,"api-timeout-s":1.2,"auto-after-s":0.0,"calls-per-s":250.0,"caps":[0.06,0.24,0.8,1.0],"closed-stages":0,
     "counts":"per_lane","no-return":false,"soak-s":3.0,"steps":[0.03,0.12,0.4,1.0],"style":"side_by_side","tally-s":1.0,"to-pause":0,
     "told-every-s":2.0,"vote-mode":"single","vote-ttl-s":4.0,"votes-to-go":1,"votes-to-revert":1,"window-s":3.0,"flag-share":0.15},
    "load-report":{"fields":["lat_ms","rate","rif"],"via":"pull"},
    "permissions":{"cancelling":true,"second-copies":true,"try-limit":6,"probes":true,"peers":false,"retry-after":false,"max-retry-after-s":1.0,
     "conn-idle-s":30.0,"dial-timeout-s":0.25},
    "prices":{"cross-zone":0.04},
    "rules":{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":0.36,"drain-grace-s":2.0,"fall-s":1.0,"tip-multiple":2.5,"warm-up-s":5.0}}"#
        .to_string()
}
