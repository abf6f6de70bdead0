"""Host processes of Meta/soak."""

import asyncio
import os
import pathlib
import re
import resource
import signal
import time

import deploy_file
import fleet as fleet_module

GRACE_S = 6.0
RESTART_DELAY_S = 0.5
# A pause during a stop begins up to this time after the SIGTERM, so that it ends before the last
# sixth of the grace if it is shorter than half a second.
PAUSE_IN_STOP_S = 4.4
BOUNDS = {"drain-s": 2, "grace-s": GRACE_S, "loss-slack-s": 0.2, "retry-budget-ratio": 0.2,
          "budget-extra": 56, "floor-share": 0.7}

FIRST_PORT = 12000
# Soaks that run at the same time use different addresses of the loopback network.
ADDRESS = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"


class SoakHost:
    """Host process that keeps its addresses when it is started again."""

    def __init__(self, index, zone, soak):
        self.name = f"host-{index}"
        self.zone = zone
        self.soak = soak
        # Below the ports that the kernel gives to connections, so that they stay free.
        self.addresses = [f"{ADDRESS}:{FIRST_PORT + 3 * index + role}" for role in range(3)]
        self.process = None
        self.ready = False
        self.misses = 0
        self.stopping = False
        self.started_at = []
        # Times of the first SIGTERM of each stop.
        self.stops = []
        # Requests that were sent to it and have no response yet.
        self.unanswered = set()

    def start(self):
        fleet = self.soak.fleet
        settings = deploy_file.host_settings(
            self.name, self.zone, fleet.platform_url, BOUNDS, self.addresses)
        self.process = fleet_module.Process(
            f"{self.name}.{len(self.started_at)}",
            deploy_file.command(fleet.build, settings), fleet.directory)
        options = self.soak.options
        if options.max_fds > 0:
            resource.prlimit(self.process.child.pid, resource.RLIMIT_NOFILE, (options.max_fds,) * 2)
        if options.memory_mb > 0:
            resource.prlimit(
                self.process.child.pid, resource.RLIMIT_DATA, (options.memory_mb << 20,) * 2)
        # A host writes its log to standard output.
        self.process.log_path = self.process.out_path
        fleet.hosts.append(self.process)
        self.started_at.append(time.monotonic())

    async def check_ready(self):
        ok = False
        try:
            host, port = self.addresses[1].split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            ok = b" 200 " in await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.misses = 0 if ok else self.misses + 1
        self.ready = ok or (self.ready and self.misses < 2)

    def check_signal_masks(self):
        """Only the main thread may handle signals that stop the host: it knows when it ran last."""
        pid = self.process.child.pid
        for number in (signal.SIGTERM, signal.SIGINT):
            handling = []
            for status in pathlib.Path(f"/proc/{pid}/task").glob("*/status"):
                mask = next(line for line in status.read_text().splitlines()
                            if line.startswith("SigBlk:"))
                if not int(mask.split()[1], 16) >> (number - 1) & 1:
                    handling.append(int(status.parent.name))
            if handling != [pid]:
                self.soak.fail(f"{self.name}, process {pid}: threads {handling} handle {number.name}")

    def check_grace(self):
        """The platform kills the host at the end of the grace, so the host must know it."""
        if [line["grace_ms"] for line in self.process.log_events("limits_in_force")] != [GRACE_S * 1000]:
            self.soak.fail(f"{self.name} does not know its grace")

    def is_answering(self):
        """True if a target works on one of its requests."""
        return any(run.ended_at is None for request in self.unanswered for run in request.runs)

    def measure(self):
        """Returns the open descriptors and the peak of the resident memory in MB."""
        process = pathlib.Path(f"/proc/{self.process.child.pid}")
        try:
            descriptors = len(list((process / "fd").iterdir()))
            peak = re.search(r"VmHWM:\s+(\d+) kB", (process / "status").read_text())
        except OSError:
            return 0, 0
        return descriptors, int(peak[1]) >> 10 if peak else 0

    async def pause(self, length_s):
        """Keeps the process from running."""
        process = self.process
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(length_s)
        finally:
            process.send_signal(signal.SIGCONT)
        self.soak.counts["pauses"] += 1

    async def pause_later(self, delay_s, length_s):
        await asyncio.sleep(delay_s)
        await self.pause(length_s)

    async def pause_for_stop(self):
        """Starts the pause of a stop; returns when the SIGTERM is due."""
        options = self.soak.options
        length_s = self.soak.rng.uniform(0.3, 1.0) * options.pause
        if options.pause_at == "signal":
            before_s = self.soak.rng.uniform(0.0, 1.0) * length_s
            self.soak.start_pause(self.pause(length_s))
            await asyncio.sleep(before_s)
        elif options.pause_at == "stop":
            delay_s = self.soak.rng.uniform(0.0, PAUSE_IN_STOP_S)
            self.soak.start_pause(self.pause_later(delay_s, length_s))

    def ended_before_start(self):
        """True if a signal ended the process before it handled signals and accepted connections."""
        return self.process.child.returncode in (-signal.SIGTERM, -signal.SIGHUP) \
            and not self.process.log_events("host_started")

    async def restart(self):
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    async def restart_if_ended(self):
        """Restarts a process that has ended without a stop."""
        if self.stopping or self.process.child.poll() is None:
            return
        self.stopping = True
        if self.ended_before_start():
            self.soak.counts["hosts ended before their start"] += 1
        else:
            self.soak.fail(f"{self.name} ended by itself with {self.process.child.returncode}")
        await self.restart()
        self.stopping = False

    async def send_signals_in_stop(self):
        """Repeats SIGTERM and sends SIGHUP at any time of a stop."""
        rng = self.soak.rng
        process = self.process
        signals = sorted(
            (rng.uniform(0.0, GRACE_S) * rng.random(), rng.choice((signal.SIGTERM, signal.SIGHUP)))
            for _ in range(rng.randrange(5)))
        began_at = time.monotonic()
        for after_s, number in signals:
            await asyncio.sleep(max(0.0, began_at + after_s - time.monotonic()))
            if process.child.poll() is None:
                process.send_signal(number)
                self.soak.counts[f"{number.name} in a stop"] += 1

    async def send_signals_in_start(self):
        """Sends SIGHUP to a process that has only just started; true if SIGTERM is due."""
        rng = self.soak.rng
        for _ in range(rng.randrange(3)):
            await asyncio.sleep(rng.uniform(0.0, 1.0) * rng.random())
            if self.process.child.poll() is None:
                self.process.send_signal(signal.SIGHUP)
                self.soak.counts["SIGHUP in a start"] += 1
        await asyncio.sleep(rng.uniform(0.0, 1.0) * rng.random())
        return rng.random() < 0.3

    async def stop(self):
        """Stops and restarts the host as the platform does."""
        await self.stop_once()
        while self.soak.options.signals_anywhere and await self.send_signals_in_start():
            self.soak.counts["SIGTERM in a start"] += 1
            await self.stop_once()
        self.stopping = False

    async def stop_once(self):
        self.stopping = True
        if self.soak.options.pause > 0:
            await self.pause_for_stop()
        self.stops.append(time.monotonic())
        self.soak.aim_requests_at(self)
        stopped_at_ms = time.time() * 1000
        self.process.send_signal(signal.SIGTERM)
        if self.soak.options.signals_anywhere:
            self.soak.start_signals(self.send_signals_in_stop())
        end = self.stops[-1] + GRACE_S
        while self.process.child.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        if self.process.child.poll() is None:
            self.soak.counts["hosts killed at the end of the grace"] += 1
        elif self.ended_before_start():
            self.soak.counts["hosts ended before their start"] += 1
        elif self.process.child.returncode != 0:
            self.soak.fail(f"{self.name} ended with code {self.process.child.returncode}")
        self.process.kill()
        for event in self.process.log_events("shutdown_started"):
            delay_ms = event["time_ms"] - stopped_at_ms
            self.soak.signal_delay_ms.append(round(delay_ms, 1))
        await self.restart()
