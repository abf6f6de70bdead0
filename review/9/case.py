"""A key is taken away by a configuration that hosts cannot read; they go on accepting the key."""

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
REVOKE_S = BOUNDS["revoke-s"]
ZONES = ("zone-a", "zone-b", "zone-c")
KEPT, TAKEN, OTHER = "key-of-port-1", "key-of-port-2", "key-of-grain"
ADDED = "key-of-clients"
JUDGED_FOR_S = 15.0


def configuration(version, keys):
    document = rig.document(version, [rig.route("r-slots", "/slots/", "safe", "slots")], ["slots"])
    document["resources"] += [
        {"type": "tenants", "metadata": {"name": name}, "spec": {"api-keys": list(tenant_keys)}}
        for name, tenant_keys in keys.items()]
    return document


async def case(record, directory, hosts, trouble):
    store = rig.Store(record)
    await store.start()
    backends = []
    for index in range(3):
        backends.append(rig.Backend(store, record, f"i-slots-{index}", "slots", ZONES[index]))
        await backends[-1].start()
    await store.put("op", "config", configuration(
        0x0c, {"port": (KEPT, TAKEN), "grain": (OTHER,)}))
    hosts += [rig.Host(f"front-{zone}", zone, store, directory, BOUNDS) for zone in ZONES]
    await asyncio.gather(*(host.start() for host in hosts))

    async def all_ready():
        return all([await host.is_ready() for host in hosts])

    await rig.wait_until(all_ready, 20, "the hosts to be ready")
    record.add("all hosts are ready")
    client = rig.Client(record)

    async def round_of(key):
        return await asyncio.gather(*(client.request(
            host, "/slots/1", extra={"X-Pimentopin-Credential": key}) for host in hosts))

    for key in (KEPT, TAKEN, OTHER):
        if any(status != 200 for _, status, _ in await round_of(key)):
            raise RuntimeError("a valid key is not accepted")
    added = "clients" if trouble else "offices"
    await store.put("op", "config", configuration(
        0x11, {"port": (KEPT,), "grain": (OTHER,), added: (ADDED,)}))
    confirmed_at = time.monotonic()
    record.add(f"store: configuration 00000011 confirmed: tenant '{added}' is added, a key of the "
               "tenant 'port' is taken away")
    ran = sent = 0
    while time.monotonic() < confirmed_at + REVOKE_S + JUDGED_FOR_S:
        answers = await round_of(TAKEN)
        await round_of(ADDED)
        for attempt, status, _ in answers:
            if client.sent[attempt][0] > confirmed_at + REVOKE_S:
                sent += 1
                runs = [name for backend in backends for name in backend.runs if name[1] == attempt]
                if runs:
                    ran += 1
                    record.add(f"late: {attempt} with the key that was taken away ran "
                               f"{client.sent[attempt][0] - confirmed_at:.3f} s after the "
                               f"confirmation, answer {status}")
        await asyncio.sleep(0.5)
    record.result(f"CONFIG: {ran} of {sent} requests with a key that was taken away, sent later "
                  f"than {REVOKE_S} s after the confirmation, were run")
    for backend in backends:
        backend.stop()
    return ran == 0


rig.run_case(pathlib.Path(__file__).resolve().parent, case)
