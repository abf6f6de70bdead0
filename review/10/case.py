"""The routes are dropped; hosts go on running requests for them, at another path."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig_2 as rig  # noqa: E402

# The bounds of demands/anpfc-corredores-grown.toml.
BOUNDS = rig.BOUNDS | {
    "ack-s": 5, "catch-up-s": 6, "drain-s": 2.5, "config-apply-s": 2.5, "strict-revoke": True,
    "revoke-s": 5, "budget-extra": 158, "quota-window-s": 5, "quota-overshoot": 0.1,
    "quota-slack": 20}
APPLY_S = BOUNDS["config-apply-s"]
SERVICES = ("manuals", "orders")
ZONES = ("zone-a", "zone-b", "zone-c")
KEY = "key-of-port-office"
# Sent with every request.
HEADER = {"X-Pimentopin-Credential": KEY}
JUDGED_FOR_S = 8.0


def configuration(version, routes):
    document = rig.document(version, routes, SERVICES)
    document["resources"].append({"type": "tenants", "metadata": {"name": "port-office"},
                                  "spec": {"api-keys": [KEY]}})
    return document


async def case(record, directory, hosts, trouble):
    store = rig.Store(record)
    await store.start()
    backends = []
    for service in SERVICES:
        for zone in ZONES:
            backends.append(rig.Backend(store, record, f"i-{service}-{zone}", service, zone))
            await backends[-1].start()
    orders = rig.route("r-orders", "/orders/", "safe", "orders")
    manuals = rig.route("r-manuals", "/manuals/", "safe", "manuals")
    await store.put("op", "config", configuration(0x0c, [orders, manuals]))
    hosts += [rig.Host(f"front-{zone}", zone, store, directory, BOUNDS) for zone in ZONES]
    await asyncio.gather(*(host.start() for host in hosts))

    async def all_ready():
        return all([await host.is_ready() for host in hosts])

    await rig.wait_until(all_ready, 20, "the hosts to be ready")
    record.add("all hosts are ready")
    client = rig.Client(record)

    async def send_round():
        return await asyncio.gather(*(client.request(host, path, extra=HEADER) for host in hosts
                                      for path in ("/manuals/page/7", "/orders/list")))

    for _ in range(4):
        await send_round()
        await asyncio.sleep(0.25)
    if trouble:
        await store.put("op", "config", configuration(0x11, []))
        record.add("store: configuration 00000011, without routes, confirmed")
    confirmed_at = time.monotonic()
    await asyncio.sleep(APPLY_S + 0.5)
    answers = []
    while time.monotonic() < confirmed_at + APPLY_S + JUDGED_FOR_S:
        answers += await send_round()
        await asyncio.sleep(0.5)
    # The answer of a backend tells the request line that it received.
    changed = dropped = 0
    for attempt, status, body in answers:
        path = client.sent[attempt][1]
        if status != 200:
            continue
        if f" GET {path} HTTP/1.1" not in body.decode():
            changed += 1
            record.add(f"changed: {attempt} was sent as {path} and run as {body.decode().strip()}")
        dropped += trouble
    record.result(f"UNASKED: {changed} of {len(answers)} requests were run with another path; "
                  f"CONFIG: {dropped} were run although their route had been dropped")
    for backend in backends:
        backend.stop()
    return changed == 0


rig.run_case(pathlib.Path(__file__).resolve().parent, case)
