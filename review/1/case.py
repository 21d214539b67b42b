"""Takes away a tenant's last keys, and sends requests with a revoked key, an unknown key and no key."""

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import BOUNDS, Client, Deployment, Engine, Record, manifest, route  # noqa: E402

KEYS = ["key-of-hule-one", "key-of-hule-two"]
UNKNOWN_KEY = "key-that-was-never-given"
ROUTES = [route("book", "/book/", "non_idempotent", max_attempts=1), route("look", "/look/", "idempotent")]
CONTACT_S = BOUNDS["contact_ms"] / 1000
# The bound of CONFIG, and a second more.
APPLY_S = BOUNDS["config_apply_ms"] / 1000 + 1


def configuration(version, keys):
    return manifest(version, ROUTES, [{"name": "hule", "api_keys": keys, "priority": 1}])


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, routers=2)
    engines = [Engine(record, f"i-{number}") for number in (1, 2)]
    client = Client(record)
    deployment.store.put("config", "main", configuration(7, KEYS))
    for engine in engines:
        deployment.store.put("servers", engine.name, engine.registration())
    try:
        deployment.start()
        broken = run(record, deployment, engines, client, trouble)
    except Exception as error:  # the case could not be run
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        deployment.stop()
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def run(record, deployment, engines, client, trouble):
    addresses = [router.callers for router in deployment.routers]
    for address in addresses:
        for key in KEYS:
            attempt, answer = client.send(address, "POST", "/book/before", key, b"{}")
            if answer is None or answer.status != 200:
                raise RuntimeError(f"{attempt} with a valid key was not served")
    # The routers are in touch from now on.
    time.sleep(CONTACT_S)
    kept = [] if trouble else KEYS[1:]
    # One key after the other is taken away; without the trouble, the second one stays.
    for version, keys in ((9, KEYS[1:]), (12, kept)):
        deployment.store.put("config", "main", configuration(version, keys))
        record.write(f"version {version} of the manifest is confirmed; keys of the tenant: {keys}")
        time.sleep(0.3)
    time.sleep(APPLY_S)
    sent = {}
    for address in addresses:
        for key in (KEYS[0], *(KEYS[1:] if trouble else ()), UNKNOWN_KEY, None):
            for method, target in (("POST", "/book/after"), ("GET", "/look/after")):
                attempt, _ = client.send(address, method, target, key, b"{}" if method == "POST" else b"")
                sent[attempt] = key
    runs = [run for engine in engines for run in engine.runs if run["attempt"] in sent]
    for run_ in runs:
        key = sent[run_["attempt"]]
        what = "CONFIG: its key was taken away" if key in KEYS else "ROUTE: no manifest ever held its key"
        record.write(f"broken: {run_['attempt']} ran with key {key} {APPLY_S} s after the confirmation; {what}")
    return bool(runs)


if __name__ == "__main__":
    sys.exit(main())
