"""Backends leave after the store has come back from a copy; hosts keep sending them requests.

The backends exit as PROTOCOL.md says, a little later than drain-s after the store has accepted that
they leave, so unsafe requests that reach them late are lost.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig_2 as rig  # noqa: E402

DRAIN_S = rig.BOUNDS["drain-s"]
CONTACT_S = rig.BOUNDS["contact-s"]
SERVICES = ("pages", "orders")
BACKENDS = 6
HOSTS = 3
COPY_AGE_S = 10.0
AWAY_S = 0.5
# After the last confirmation and drain-s: the judged requests, and the exit of the backends.
LATE_S = 0.2
EXIT_S = 0.4
# Requests of one burst at each host and service.
BURST = 8


async def burst(client, hosts):
    calls = []
    for host in hosts:
        for index in range(BURST):
            calls.append(client.request(host, f"/pages/{index}"))
            calls.append(client.request(host, f"/orders/{index}", "POST"))
    await asyncio.gather(*calls)


async def case(record, directory, hosts, trouble):
    store = rig.Store(record)
    await store.start()
    backends = {}
    for service in SERVICES:
        for index in range(BACKENDS):
            name = f"i-{service}-{index}"
            backends[name] = rig.Backend(store, record, name, service, "zone-a",
                                          work_s=0.25)
            await backends[name].start()
    configuration = rig.document(
        0x0c, [rig.route("r-pages", "/pages/", "safe", "pages"),
               rig.route("r-orders", "/orders/", "unsafe", "orders")], SERVICES)
    await store.put("op", "config", configuration)
    hosts += [rig.Host(f"front-{index}", "zone-a", store, directory) for index in range(HOSTS)]
    await asyncio.gather(*(host.start() for host in hosts))

    async def all_ready():
        return all([await host.is_ready() for host in hosts])

    await rig.wait_until(all_ready, 20, "the hosts to be ready")
    record.add("all hosts are ready")
    client = rig.Client(record)
    await asyncio.sleep(COPY_AGE_S + 2)
    await burst(client, hosts)

    if trouble:
        copied_at = time.monotonic() - COPY_AGE_S
        record.add(f"store: away for {AWAY_S} s")
        await store.stop()
        await asyncio.sleep(AWAY_S)
        store.restore(copied_at)
        await store.start()
        # What the operator and the backends wrote is written again.
        await store.put("op", "config", configuration)
        for backend in backends.values():
            await backend.write_entry()
    record.add(f"store: stable from now on, version {store.version}")
    # From then on the machines are in touch again.
    await asyncio.sleep(CONTACT_S + 0.5)
    await burst(client, hosts)

    left = {}
    # Some backends never report `draining`; their entry is removed.
    for name, announces in (("i-pages-0", True), ("i-orders-0", True), ("i-orders-1", False)):
        await backends[name].leave(announces)
        left[name] = time.monotonic()
        record.add(f"store: {name} {'draining' if announces else 'removed'}, confirmed as version "
                   f"{store.version}")
    await asyncio.sleep(left["i-orders-1"] + DRAIN_S + LATE_S - time.monotonic())
    last = asyncio.create_task(burst(client, hosts))
    await asyncio.sleep(EXIT_S - LATE_S)
    for name in left:
        backends[name].exit()
    record.add("the backends that left have exited")
    await last

    late = 0
    for name, confirmed_at in left.items():
        for run_at, attempt in backends[name].runs:
            if client.sent[attempt][0] > confirmed_at + DRAIN_S:
                late += 1
                record.add(f"late: {attempt} ran at {name} {run_at - confirmed_at:.3f} s after the "
                           "store had confirmed that it leaves")
    # 503 and 429 promise that the request has not run.
    lost = sum(1 for attempt, status in client.answers.items()
               if status not in (200, 429, 503) and client.sent[attempt][1].startswith("/orders/"))
    record.result(f"DRAIN: {late} requests reached backends later than {DRAIN_S} s after the "
                  f"confirmation; {lost} unsafe requests were lost")
    for backend in backends.values():
        backend.stop()
    return late == 0


rig.run_case(pathlib.Path(__file__).resolve().parent, case)
