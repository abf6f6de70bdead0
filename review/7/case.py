"""The configuration changes as the store comes back from a copy; hosts never learn of it."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig_2 as rig  # noqa: E402

APPLY_S = rig.BOUNDS["config-apply-s"]
STRETCH_S = rig.BOUNDS["max-stretch-s"]
CONTACT_S = rig.BOUNDS["contact-s"]
SERVICES = ("pages", "orders")
BACKENDS = 4
ZONES = ("zone-a", "zone-b", "zone-c")
COPY_AGE_S = 3.0
# The operator changes a time-out this long before the drill.
CHANGE_BEFORE_S = 1.8
AWAY_S = 0.1
# The requests that are judged are sent this long after the confirmation, for this long.
JUDGED_FROM_S = CONTACT_S + APPLY_S + STRETCH_S
JUDGED_FOR_S = 10.0


async def case(record, directory, hosts, trouble):
    store = rig.Store(record)
    await store.start()
    backends = []
    for service in SERVICES:
        for index in range(BACKENDS):
            backends.append(rig.Backend(store, record, f"i-{service}-{index}", service,
                                        ZONES[index % len(ZONES)]))
            await backends[-1].start()
    orders = rig.route("r-orders", "/orders/", "unsafe", "orders")
    old = rig.document(0x0c, [rig.route("r-pages", "/pages/", "safe", "pages"), orders], SERVICES)
    changed = rig.document(0x0d, [rig.route("r-pages", "/pages/", "safe", "pages"),
                                  rig.route("r-orders", "/orders/", "unsafe", "orders", 3)],
                           SERVICES)
    # The route /pages/ moves to the other service.
    new = rig.document(0x11, [rig.route("r-pages", "/pages/", "safe", "orders"), orders], SERVICES)
    await store.put("op", "config", old)
    hosts += [rig.Host(f"front-{zone}", zone, store, directory) for zone in ZONES]
    await asyncio.gather(*(host.start() for host in hosts))

    async def all_ready():
        return all([await host.is_ready() for host in hosts])

    await rig.wait_until(all_ready, 20, "the hosts to be ready")
    record.add("all hosts are ready")
    client = rig.Client(record)
    for _ in range(20):
        await asyncio.gather(*(client.request(host, "/pages/1") for host in hosts))
        await asyncio.sleep(0.3)

    await store.put("op", "config", changed)
    record.add(f"store: configuration 0000000d confirmed as version {store.version}")
    await asyncio.sleep(CHANGE_BEFORE_S)
    if trouble:
        copied_at = time.monotonic() - COPY_AGE_S
        record.add(f"store: away for {AWAY_S} s")
        await store.stop()
        await asyncio.sleep(AWAY_S)
        store.restore(copied_at)
        await store.start()
        # What the operator and the backends wrote is written again.
        await store.put("op", "config", changed)
    # The operator's next change.
    await store.put("op", "config", new)
    confirmed_at = time.monotonic()
    record.add(f"store: configuration 00000011 confirmed as version {store.version}")
    if trouble:
        await asyncio.gather(*(backend.write_entry() for backend in backends))
        record.add(f"store: the entries of the backends are written again, version {store.version}")

    await asyncio.sleep(JUDGED_FROM_S)
    judged = []
    end = time.monotonic() + JUDGED_FOR_S
    while time.monotonic() < end:
        judged += await asyncio.gather(*(client.request(host, "/pages/1") for host in hosts))
        await asyncio.sleep(0.5)
    stale = 0
    for attempt, status, body in judged:
        if status == 200 and body.startswith(b"pages "):
            stale += 1
            record.add(f"stale: {attempt} was run by the old service "
                       f"{client.sent[attempt][0] - confirmed_at:.3f} s after the confirmation")
    record.result(f"CONFIG: {stale} of {len(judged)} requests, sent {JUDGED_FROM_S:.0f} s and more "
                  "after the confirmation, were run by the old service")
    for backend in backends:
        backend.stop()
    return stale == 0


rig.run_case(pathlib.Path(__file__).resolve().parent, case)
