# A control service: `latchhaven control deploy/control.star`; `latchhaven check deploy/control.star` reads it only.

load("site.star", "permissions", "products", "rules", "votes")

def zone(number):
    return "zone-" + str(number)

zones = [zone(n) for n in range(1, 4)]

control = {
    "name": "control-a",
    "discovery": "127.0.0.1:8500",
    "platform": "127.0.0.1:6400",
    "seed": 7,
    "settings": {
        "classes": products,
        "domain": votes,
        "permissions": permissions,
        "rules": rules,
        "registry-mode": "subscribe",
        "azs": zones,
        "locality": zones[0],
        "me": 0,
        "replicas-of-me": 1,
    },
    # "state": "/var/lib/latchhaven/control.redb",
    # "shared_key_file": "/etc/latchhaven/versions.key",
    "xds": {
        "listen": "127.0.0.1:18000",
        "allowed_networks": ["127.0.0.0/8"],
        "listener": "127.0.0.1:10000",
        "in_flight_per_host": 64,
        "hosts_apart": True,
    },
}
