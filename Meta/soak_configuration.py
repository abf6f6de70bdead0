"""Configuration that Meta/soak writes to the platform, and what its versions allow."""

import asyncio
import collections
import time

from soak_callers import HOST_NAME

FIRST_VERSION = 28
# A version is in force at most this long after the confirmation of the next one.
CONFIG_APPLY_S = 2.0
# The bound is longer for a version that is written as the store comes back (contact-s).
RETURN_STRETCH_S = 3.0

# `services` has the services of each kind of request; it has none if the route is dropped.
Version = collections.namedtuple("Version", "services sent_at confirmed_at")


class Configuration:
    def __init__(self, deployment, max_attempts, fleet):
        self.kinds = deployment.kinds
        self.max_attempts = max_attempts
        self.fleet = fleet
        self.services = {kind.name: (kind.service,) for kind in self.kinds}
        self.timeouts = {kind.name: kind.timeout_s for kind in self.kinds}
        self.unused_routes = 0
        self.versions = []
        self.last_resources = []
        # Versions reach the platform in their order.
        self.lock = asyncio.Lock()

    async def write(self):
        async with self.lock:
            services = dict(self.services)
            version = f"{FIRST_VERSION + len(self.versions):08x}"
            sent_at = time.monotonic()
            self.last_resources = self.resources()
            await asyncio.to_thread(self.fleet.write_row, "op", "config", {
                "version": version, "resources": self.last_resources})
            self.versions.append(Version(services, sent_at, time.monotonic()))

    async def write_again(self):
        """Writes the last version once more after the store has come back from a copy."""
        async with self.lock:
            version = f"{FIRST_VERSION + len(self.versions) - 1:08x}"
            await asyncio.to_thread(self.fleet.write_row, "op", "config", {
                "version": version, "resources": self.last_resources})
            # Hosts may not have read it before.
            self.versions[-1] = self.versions[-1]._replace(
                confirmed_at=time.monotonic() + RETURN_STRETCH_S)

    def newest_revision(self):
        return FIRST_VERSION + len(self.versions) - 1

    def resources(self):
        routes = [
            {"type": "routes", "metadata": {"name": f"r-{kind.name}"},
             "spec": {"host": HOST_NAME, "prefix": f"/{kind.name}/", "kind": kind.kind,
                      "timeout-s": self.timeouts[kind.name],
                      "target-latency-s": kind.timeout_s / 2,
                      "priority": 1, "max-attempts": self.max_attempts,
                      **self.destination(kind)}}
            for kind in self.kinds if self.services[kind.name]
        ]
        routes += [
            {"type": "routes", "metadata": {"name": f"unused-{index}"},
             "spec": {"host": HOST_NAME, "prefix": f"/unused-{index}/", "kind": "safe",
                      "timeout-s": 1.0, "target-latency-s": 0.5, "priority": 1,
                      "max-attempts": 2, "service": self.kinds[0].service}}
            for index in range(self.unused_routes)
        ]
        services = [
            {"type": "services", "metadata": {"name": name},
             "spec": {"health-path": "/healthz", "max-conns": 300, "protocol": "h1", "tls": False}}
            for name in sorted({kind.service for kind in self.kinds})
        ]
        return routes + services

    def destination(self, kind):
        services = self.services[kind.name]
        if len(services) == 1:
            return {"service": services[0]}
        return {"traffic-split": [{"service": name, "weight": 1} for name in services]}

    def allowed_services(self, kind, begin, end):
        """Services of the kind in each version that may be in force from begin to end."""
        nexts = [*self.versions[1:], None]
        return {version.services[kind.name] for version, following in zip(self.versions, nexts)
                if version.sent_at <= end
                and (following is None or following.confirmed_at + CONFIG_APPLY_S >= begin)}
