//! The keys and keywords of the settings object.

use latchhaven_simulator_protocol::settings;
use rstest::rstest;
use serde_json::{Value, json};

/// All keys, each with a value that differs from its default.
fn all_keys() -> Value {
    json!({
        "azs": ["x", "y"],
        "classes": [{
            "aim-s": 0.5, "aim-stretch": 0.1, "dedup-window-s": 3.0, "effect": "deduplicated", "gain": 2.0,
            "group": "zone", "hard-limit-s": 2.0, "late-share": 0.25, "name": "pay", "stream": true
        }],
        "domain": {
            "allowance": 1.0, "api-timeout-s": 0.7, "auto-after-s": 60.0, "caps": [0.1, 1.0], "closed-stages": 1,
            "counts": "per_lane", "no-return": true, "soak-s": 5.0, "style": "side_by_side", "to-pause": 2,
            "vote-mode": "majority", "vote-ttl-s": 4.0, "votes-to-go": 3, "votes-to-revert": 4, "window-s": 2.0
        },
        "load-report": {"via": "pull"},
        "locality": "x",
        "me": 1,
        "permissions": {
            "cancelling": true, "conn-idle-s": 20.0, "dial-timeout-s": 0.5, "max-retry-after-s": 9.0, "peers": true,
            "probes": true, "retry-after": true, "second-copies": true, "try-limit": 3
        },
        "prices": {"cross-zone": 0.2},
        "registry-mode": "subscribe",
        "replicas-of-me": 2,
        "rules": {
            "ask-within-s": 10.0, "cold-from": 0.4, "drain-grace-s": 2.0, "fall-s": 1.5, "tip-multiple": 3.0,
            "warm-up-s": 4.0
        }
    })
}

/// Keys with a default.
const OPTIONAL_KEYS: [&str; 21] = [
    "/azs",
    "/classes/0/aim-stretch",
    "/classes/0/group",
    "/classes/0/late-share",
    "/classes/0/stream",
    "/domain/api-timeout-s",
    "/domain/auto-after-s",
    "/domain/closed-stages",
    "/domain/no-return",
    "/domain/soak-s",
    "/domain/to-pause",
    "/load-report",
    "/load-report/via",
    "/permissions/conn-idle-s",
    "/permissions/dial-timeout-s",
    "/permissions/max-retry-after-s",
    "/permissions/peers",
    "/permissions/probes",
    "/permissions/retry-after",
    "/prices",
    "/prices/cross-zone",
];
/// Keys whose default contradicts the other values.
const REQUIRED_BY_OTHERS: [&str; 3] = ["/classes/0/dedup-window-s", "/domain/votes-to-go", "/locality"];

/// Returns the JSON pointers of all keys below `value`, whose own pointer is `prefix`.
fn pointers(value: &Value, prefix: &str) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(key, child)| (key.clone(), child)).collect(),
        Value::Array(items) if items.iter().all(Value::is_object) => {
            items.iter().enumerate().map(|(index, child)| (index.to_string(), child)).collect()
        }
        _ => Vec::new(),
    };
    let with_descendants = |(key, child): (String, &Value)| {
        let pointer = format!("{prefix}/{key}");
        let below = pointers(child, &pointer);
        std::iter::once(pointer).chain(below).collect::<Vec<_>>()
    };
    children.into_iter().flat_map(with_descendants).collect()
}

fn error_of(settings: &Value) -> Option<String> {
    settings::parse(&settings.to_string()).err().map(|error| error.to_string())
}

/// Returns the path at the beginning of an error's text as a JSON pointer.
fn pointer_in(error: &str) -> String {
    let path = error.split(": ").next().unwrap_or_default();
    format!("/{}", path.replace('[', "/").replace("].", "/").replace(']', "").replace('.', "/"))
}

#[test]
fn every_key_is_read() {
    let complete = all_keys();
    assert_eq!(error_of(&complete), None);
    let pointers = pointers(&complete, "");
    assert_eq!(pointers.len(), 54, "53 keys and the index of the class");
    for pointer in &pointers {
        let mut changed = complete.clone();
        *changed.pointer_mut(pointer).expect("a key") = json!(null);
        let error = error_of(&changed).unwrap_or_else(|| panic!("{pointer} is not read"));
        assert_eq!(&pointer_in(&error), pointer, "{error}");
    }
}

#[test]
fn key_without_a_default_is_required() {
    let complete = all_keys();
    for pointer in pointers(&complete, "") {
        let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
        let mut changed = complete.clone();
        let Some(Value::Object(fields)) = changed.pointer_mut(parent) else { continue };
        fields.remove(key);
        let error = error_of(&changed);
        let is_optional = OPTIONAL_KEYS.contains(&pointer.as_str());
        assert_eq!(error.is_none(), is_optional, "{pointer}: {error:?}");
        if let Some(error) = error
            && !REQUIRED_BY_OTHERS.contains(&pointer.as_str())
        {
            assert!(error.contains(&format!("missing field `{key}`")), "{pointer}: {error}");
        }
    }
}

#[rstest]
#[case("/classes/0/effect", &["idempotent", "deduplicated", "at_most_once"])]
#[case("/classes/0/group", &["all", "zone", "cell"])]
#[case("/domain/counts", &["all", "per_lane"])]
#[case("/domain/vote-mode", &["single", "majority", "clocked"])]
#[case("/domain/style", &["side_by_side", "rolling"])]
#[case("/load-report/via", &["silent", "piggyback", "pull"])]
#[case("/registry-mode", &["automatic", "subscribe"])]
fn only_keywords_of_a_key_are_accepted(#[case] pointer: &str, #[case] keywords: &[&str]) {
    let mut settings = all_keys();
    for keyword in keywords {
        *settings.pointer_mut(pointer).expect("a key") = json!(keyword);
        assert_eq!(error_of(&settings), None, "{keyword}");
    }
    *settings.pointer_mut(pointer).expect("a key") = json!("other");
    let error = error_of(&settings).expect("an error");
    assert!(keywords.iter().all(|keyword| error.contains(&format!("`{keyword}`"))), "{error}");
}
