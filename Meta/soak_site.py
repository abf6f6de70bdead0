"""Reads a site file of the platform's users, and plays the planned work of one of its days."""

import asyncio
import time

from soak_callers import ZONES
from soak_deployments import Deployment, Kind

UNUSED_ROUTES = (0, 20, 350)


def load(path, day_name=""):
    """Returns the deployment, and the day (the first one if it has no name)."""
    # Python has it from 3.11 on; runs without a site file need none.
    import tomllib
    with open(path, "rb") as file:
        site = tomllib.load(file)
    days = [day for day in site["day"] if day_name in ("", day["name"])]
    if not days:
        raise ValueError(f"{path} has no day {day_name}")
    zones = [zone["name"] for zone in site["zones"]]
    limits = {(service["slots"], service["queue"]) for service in site["services"]}
    if len(zones) != len(ZONES) or len(limits) != 1:
        raise ValueError(f"{path} does not have {len(ZONES)} zones, and services of one size")
    slots, queue = limits.pop()
    traffic = sorted(days[0]["traffic"], key=lambda entry: zones.index(entry["zone"]))
    deployment = Deployment(
        hosts=tuple(sum(machines["count"] for machines in site["machines"]
                        if machines["zone"] == zone) for zone in zones),
        targets={service["name"]: tuple(sum(servers["count"] for servers in service["servers"]
                                            if servers["zone"] == zone) for zone in zones)
                 for service in site["services"]},
        slots=slots,
        queue=queue,
        kinds=tuple(read_kind(entry, traffic[0]["mix"]) for entry in site["classes"]),
        rates=tuple(entry["per_s"] for entry in traffic),
    )
    return deployment, days[0], site["length_s"]


def read_kind(entry, weights):
    deadline_s = entry["deadline_ms"] / 1000
    return Kind(
        entry["name"], entry["service"], entry["method"], entry["kind"],
        entry.get("timeout_ms", entry["deadline_ms"]) / 1000, deadline_s,
        entry["work_ms"]["mean"] / 1000, int(entry["resp_bytes"]["mean"]),
        entry["habit"] == "fresh", weights[entry["name"]], entry["work_ms"]["spread"],
        tuple(entry["also"]))


class PlannedWork:
    """Planned work of a day. Its other disturbances are not played."""

    def __init__(self, day, length_s, soak):
        self.plan = day["plan"]
        self.length_s = length_s
        self.soak = soak

    async def play(self):
        end = time.monotonic() + self.length_s
        await asyncio.gather(*(self.play_entry(entry) for entry in self.plan))
        await asyncio.sleep(max(0.0, end - time.monotonic()))

    async def play_entry(self, entry):
        await asyncio.sleep(entry["at"])
        play = getattr(self, f"play_{entry['kind']}", None)
        name = f"{entry['kind']} {entry.get('how', '')}".strip()
        self.soak.counts[name if play else f"not played: {name}"] += 1
        if play:
            await play(entry)

    async def play_roll_term(self, entry):
        hosts = self.soak.hosts
        order = self.soak.rng.sample(hosts, max(1, round(entry["share"] * len(hosts))))
        at_once = int(entry.get("x", 1))
        stops = []
        for index in range(0, len(order), at_once):
            for host in order[index:index + at_once]:
                if not host.stopping:
                    self.soak.counts["SIGTERM"] += 1
                    stops.append(asyncio.ensure_future(host.stop()))
            await asyncio.sleep(entry["gap_s"])
        await asyncio.gather(*stops)

    async def play_hup(self, entry):
        hosts = self.soak.hosts
        order = self.soak.rng.sample(hosts, max(1, round(entry["share"] * len(hosts))))
        for host in order:
            self.soak.send_hangup(host)
            await asyncio.sleep(entry["gap_s"] / len(order))

    async def play_config_change(self, entry):
        self.change_configuration(entry["how"])
        await self.soak.configuration.write()

    async def play_config_storm(self, entry):
        end = time.monotonic() + entry["for_s"]
        while time.monotonic() < end:
            self.change_configuration("route")
            await self.soak.configuration.write()
            await asyncio.sleep(entry["gap_s"])

    def change_configuration(self, how):
        rng = self.soak.rng
        configuration = self.soak.configuration
        kinds = self.soak.deployment.kinds
        kind = rng.choice([kind for kind in kinds if kind.also])
        if how == "timeout":
            kind = rng.choice(kinds)
            configuration.timeouts[kind.name] = kind.timeout_s * rng.choice((1.0, 1.3))
        elif how == "idle":
            configuration.unused_routes = rng.choice(UNUSED_ROUTES)
        elif how == "route":
            configuration.services[kind.name] = (rng.choice((kind.service, *kind.also)),)
        else:
            configuration.services[kind.name] = (kind.service, rng.choice(kind.also))

    def present_targets(self, entry):
        """Yields each service that the entry concerns, and its targets that do not leave."""
        soak = self.soak
        for service in soak.deployment.targets:
            if entry.get("service", service) == service:
                yield service, [target for target in soak.targets if target.service == service
                                and target not in soak.departures]

    async def play_scale_in(self, entry):
        for _, present in self.present_targets(entry):
            for target in self.soak.rng.sample(present, round(entry["share"] * len(present))):
                self.soak.start_departure(target)

    async def play_scale_out(self, entry):
        for service, present in list(self.present_targets(entry)):
            for _ in range(round(entry["share"] * len(present))):
                await self.soak.add_target(service, self.soak.rng.choice(ZONES))
                await asyncio.sleep(entry["gap_s"])

    async def play_release(self, entry):
        await asyncio.gather(*(self.replace_targets(present, entry)
                               for _, present in self.present_targets(entry)))

    async def replace_targets(self, present, entry):
        order = self.soak.rng.sample(present, round(entry["share"] * len(present)))
        at_once = int(entry.get("x", 1))
        for index in range(0, len(order), at_once):
            for target in order[index:index + at_once]:
                await self.soak.add_target(target.service, target.zone)
                if target not in self.soak.departures:
                    self.soak.start_departure(target)
            await asyncio.sleep(entry["gap_s"])
