"""Reads a site file of the platform's users, and plays one of its days.

Of the disturbances that are not planned, those are played that concern targets and
what they answer; the others are counted as not played.
"""

import asyncio
import time

from soak_callers import ZONES
from soak_deployments import Deployment, Kind, Noise

POLL_S = 0.01
# What a fault makes of the requests at a target, by the word of a day.
FAULTS = ("errors", "shed", "hang", "reset")
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
    noises = {read_noise(service["noise"]) for service in site["services"]}
    if len(zones) != len(ZONES) or len(limits) != 1 or len(noises) != 1:
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
        noise=noises.pop(),
        callers=tuple(entry["clients"] for entry in traffic),
    )
    return deployment, days[0], site["length_s"]


def read_noise(entry):
    if entry["how"] != "errors":
        raise ValueError(f"noise {entry['how']} is not known")
    return Noise(entry["every_ms"] / 1000, entry["share"], entry["fails"], 0.0)


def read_kind(entry, weights):
    deadline_s = entry["deadline_ms"] / 1000
    return Kind(
        entry["name"], entry["service"], entry["method"], entry["kind"],
        entry.get("timeout_ms", entry["deadline_ms"]) / 1000, deadline_s,
        entry["work_ms"]["mean"] / 1000, int(entry["resp_bytes"]["mean"]),
        entry["habit"] == "fresh", weights[entry["name"]], entry["work_ms"]["spread"],
        tuple(entry["also"]))


class Day:
    """Planned work of a day, and the faults of its targets."""

    def __init__(self, day, length_s, soak):
        self.entries = day["plan"] + day["faults"]
        self.length_s = length_s
        self.soak = soak

    async def play(self):
        end = time.monotonic() + self.length_s
        await asyncio.gather(*(self.play_entry(entry) for entry in self.entries))
        await asyncio.sleep(max(0.0, end - time.monotonic()))

    async def play_entry(self, entry):
        await asyncio.sleep(entry["at"])
        play = getattr(self, f"play_{entry['kind']}", None)
        name = f"{entry['kind']} {entry.get('how', '')}".strip()
        self.soak.counts[name if play else f"not played: {name}"] += 1
        if play:
            await play(entry)

    async def play_roll_term(self, entry):
        order = self.soak.draw_series(entry["share"])
        at_once = int(entry.get("x", 1))
        is_busy = "busy" in entry.get("how", "")
        stops = []
        for index in range(0, len(order), at_once):
            for host in order[index:index + at_once]:
                stops.append(asyncio.ensure_future(
                    self.stop_host(host, entry["gap_s"] if is_busy else 0.0)))
            await asyncio.sleep(entry["gap_s"])
        await asyncio.gather(*stops)

    async def stop_host(self, host, longest_wait_s):
        """Stops a host, if possible while a target works on one of its requests."""
        end = time.monotonic() + longest_wait_s
        while time.monotonic() < end and not host.is_answering():
            await asyncio.sleep(POLL_S)
        if host.stopping:
            return
        self.soak.counts["SIGTERM"] += 1
        self.soak.counts["SIGTERM while it answers"] += host.is_answering()
        await host.stop()

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

    def draw_targets(self, entry):
        """Draws the share of the targets of each service that the entry concerns."""
        rng = self.soak.rng
        return [target for _, present in self.present_targets(entry)
                for target in rng.sample(present, max(1, round(entry["share"] * len(present))))]

    async def play_srv_slow(self, entry):
        targets = self.draw_targets(entry)
        for target in targets:
            target.work_factor *= entry["x"]
        await asyncio.sleep(entry["for_s"])
        for target in targets:
            target.work_factor /= entry["x"]

    async def play_srv_grey(self, entry):
        fault = next(word for word in FAULTS if word in entry["how"])
        targets = self.draw_targets({**entry, "share": 1.0} if "all" in entry["how"] else entry)
        for target in targets:
            target.faults.append((fault, entry["x"]))
        await asyncio.sleep(entry["for_s"])
        for target in targets:
            target.faults.remove((fault, entry["x"]))
