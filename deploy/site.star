# What control services and their neighbours share: products, rules, votes. Times are in seconds.

def product(name, effect, aim, limit, gain, remember = 0.0):
    return {
        "name": name,
        "effect": effect,
        "aim-s": aim,
        "hard-limit-s": limit,
        "gain": gain,
        "group": "all",
        "dedup-window-s": remember,
    }

products = [
    product("look-up", "idempotent", 0.3, 1.5, 1.0),
    product("place-order", "deduplicated", 0.8, 3.0, 3.0, remember = 10.0),
    product("take-payment", "at_most_once", 1.5, 4.0, 2.0),
]

rules = {
    "ask-within-s": 10.0,
    "drain-grace-s": 2.0,
    "cold-from": 0.4,
    "warm-up-s": 5.0,
    "tip-multiple": 3.0,
    "fall-s": 1.5,
}

permissions = {
    "cancelling": True,
    "second-copies": False,
    "try-limit": 3,
}

votes = {
    "allowance": 2.0,
    "caps": [0.04, 0.15, 0.5, 1.0],
    "window-s": 2.0,
    "counts": "all",
    "vote-mode": "single",
    "votes-to-go": 1,
    "votes-to-revert": 1,
    "vote-ttl-s": 6.0,
    "soak-s": 2.0,
    "api-timeout-s": 1.0,
    "style": "rolling",
}
