"""Callers of Meta/soak."""

import asyncio
import collections
import itertools
import math
import socket
import time

from soak_targets import read_head

ZONES = ("zone-a", "zone-b", "zone-c")
HOST_NAME = "shop.example"
MIN_KEYED_DEADLINE_S = 0.3
# Aimed requests are sent up to this time after a SIGTERM.
AIMED_S = 3.4
# Mean time between two requests on a connection that is held.
HOLD_S = 30.0


class Caller:
    """Sends requests on one connection at a time."""

    def __init__(self, soak, rng):
        self.soak = soak
        self.rng = rng
        self.is_slow = rng.random() < 0.25
        self.is_fresh = rng.random() < 0.3
        self.kinds = [kind for kind in soak.deployment.kinds if kind.fresh == self.is_fresh]
        self.pipelines = not self.is_fresh and rng.random() < soak.options.pipelining

    async def run(self):
        while not self.soak.ended:
            await self.use_connection()
            await asyncio.sleep(self.rng.uniform(0.01, 0.2))

    async def connect(self, host):
        """Returns the host, the reader and the writer of a new connection, or nothing."""
        connection = socket.socket()
        if self.is_slow:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        connection.setblocking(False)
        address, port = host.addresses[0].split(":")
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(connection, (address, int(port))), 1)
        except (OSError, asyncio.TimeoutError):
            connection.close()
            self.soak.counts["refused connections"] += 1
            return None
        return host, *await asyncio.open_connection(sock=connection, limit=4096)

    async def use_connection(self):
        connected = await self.connect(self.soak.pick_host(self.rng, self.rng.choice(ZONES)))
        if connected is None:
            return
        host, reader, writer = connected
        outstanding = collections.deque()
        is_first = True
        try:
            while not self.soak.ended or outstanding:
                while not self.soak.ended and len(outstanding) < (3 if self.pipelines else 1):
                    outstanding.append(
                        self.send(writer, host, self.rng.choice(self.kinds), is_first))
                    is_first = False
                    if self.rng.random() < 0.7:
                        break
                if not await self.receive(reader, outstanding) or self.is_fresh:
                    break
                await asyncio.sleep(self.rng.expovariate(1 / 0.05))
        finally:
            writer.transport.abort()

    def send(self, writer, host, kind, is_first):
        request = self.soak.new_request(kind, host)
        request.is_first = is_first
        body = b"b" * self.rng.randrange(10, 4000) if kind.method == "POST" else b""
        key = ""
        if self.soak.options.keyed > 0 and kind.method == "POST" \
                and self.rng.random() < self.soak.options.keyed:
            request.is_keyed = True
            # The header has whole milliseconds.
            deadline_ms = int(1000 * self.rng.uniform(MIN_KEYED_DEADLINE_S, kind.deadline_s))
            request.deadline_s = deadline_ms / 1000
            key = f"Idempotency-Key: {request.id}\r\n"
        request.sent_at = time.monotonic()
        host.unanswered.add(request)
        writer.write(
            f"{kind.method} /{kind.name}/{request.id} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Pimentopin-Attempt-Id: {request.id}\r\n"
            f"X-Pimentopin-Deadline-Ms: {round(request.deadline_s * 1000)}\r\n{key}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return request

    async def receive(self, reader, outstanding):
        """Reads the response to the first request; false if the connection has ended."""
        request = outstanding[0]
        try:
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed")
            status = int(head[0][1])
            if head[1].get("transfer-encoding") == "chunked":
                await self.read_chunks(reader, request)
            else:
                await self.read_bytes(reader, int(head[1].get("content-length", "0")), request)
            request.status = status
            request.reason = head[1].get("pimentopin-reason", "")
            request.outcome = head[1].get("pimentopin-outcome", "")
            request.from_target = "x-pimentopin-response-seal" in head[1]
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            request.error = f"{type(error).__name__} {error}"
        for cut in itertools.islice(outstanding, 1 if request.status else len(outstanding)):
            cut.end()
        if request.status is None:
            return False
        outstanding.popleft()
        if head[1].get("connection") == "close":
            for cut in outstanding:
                cut.end()
                cut.error = "behind a response that closes"
            return False
        return True

    async def read_chunks(self, reader, request):
        while True:
            size = int((await reader.readline()).strip(), 16)
            await self.read_bytes(reader, size, request)
            await reader.readexactly(2)
            if size == 0:
                return

    async def read_bytes(self, reader, count, request):
        while count > 0:
            part = await reader.read(min(count, 4096))
            if not part:
                raise ConnectionError("closed in a body")
            count -= len(part)
            request.received += len(part)
            if self.is_slow and request.received > 4096:
                await asyncio.sleep(0.01)


class OpenLoad(Caller):
    """Sends requests of one failure domain at a rate that does not depend on the responses."""

    def __init__(self, soak, rng, zone, rate, count):
        super().__init__(soak, rng)
        self.zone = zone
        self.rate = rate
        self.is_slow = False
        # Numbers of the callers, or one without a number whom the balancer does not know.
        self.callers = range(count) if count else [None]
        # Kept connections without a request in progress, by caller.
        self.idle = {caller: [] for caller in self.callers}
        self.exchanges = set()

    async def run(self):
        kinds = self.soak.deployment.kinds
        fresh = self.soak.options.fresh
        weights = [kind.weight * (fresh if kind.fresh else 1.0) for kind in kinds]
        started_at = time.monotonic()
        while not self.soak.ended:
            wave = 1 + 0.55 * math.sin(2 * math.pi * (time.monotonic() - started_at) / 17)
            await asyncio.sleep(self.rng.expovariate(self.rate * wave * self.soak.options.load))
            kind = self.rng.choices(kinds, weights)[0]
            exchange = asyncio.ensure_future(self.exchange(kind))
            self.exchanges.add(exchange)
            exchange.add_done_callback(self.exchanges.discard)
        try:
            if self.exchanges:
                await asyncio.wait(self.exchanges)
        finally:
            for exchange in self.exchanges:
                exchange.cancel()
            for _, _, writer in itertools.chain.from_iterable(self.idle.values()):
                writer.transport.abort()

    async def exchange(self, kind):
        caller = self.rng.choice(self.callers) if len(self.callers) > 1 else self.callers[0]
        idle = self.idle[caller]
        connected = None
        while idle and not kind.fresh and connected is None:
            connected = idle.pop(self.rng.randrange(len(idle)))
            if connected[1].at_eof():
                connected[2].transport.abort()
                connected = None
        is_first = connected is None
        connected = connected or await self.connect(
            self.soak.pick_host(self.rng, self.zone, caller))
        if connected is None:
            return
        host, reader, writer = connected
        request = self.send(writer, host, kind, is_first)
        is_kept = False
        try:
            is_kept = await self.receive(reader, collections.deque([request])) and not kind.fresh
        finally:
            if is_kept:
                idle.append(connected)
            else:
                writer.transport.abort()


class HoldingCaller(Caller):
    """Holds a connection and rarely sends a request."""

    def __init__(self, soak, rng):
        super().__init__(soak, rng)
        self.is_slow = False
        self.kinds = [kind for kind in soak.deployment.kinds if not kind.fresh]

    async def run(self):
        while not self.soak.ended:
            connected = await self.connect(self.soak.pick_host(self.rng, self.rng.choice(ZONES)))
            if connected is not None:
                await self.hold(*connected)
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def hold(self, host, reader, writer):
        try:
            # The first request comes soon, so that no timeout of a new connection ends the hold.
            wait_s = self.rng.uniform(0.0, 2.0)
            is_first = True
            while not self.soak.ended:
                # Ends the wait early if the host closes the connection.
                end = time.monotonic() + wait_s
                while time.monotonic() < end and not reader.at_eof() and not self.soak.ended:
                    await asyncio.sleep(0.2)
                if reader.at_eof() or self.soak.ended:
                    return
                request = self.send(writer, host, self.rng.choice(self.kinds), is_first)
                is_first = False
                if not await self.receive(reader, collections.deque([request])):
                    return
                wait_s = self.rng.expovariate(1 / HOLD_S)
        finally:
            writer.transport.abort()


class AimedRequest(Caller):
    """Sends one request to a host at a given time after its SIGTERM."""

    def __init__(self, soak, rng, host):
        super().__init__(soak, rng)
        self.host = host
        self.is_slow = False
        self.kind = rng.choice([kind for kind in soak.deployment.kinds if kind.fresh])
        self.delay_s = rng.uniform(0.0, AIMED_S)
        self.work_s = rng.uniform(0.0, 1.1 * self.kind.timeout_s)

    async def run(self):
        await asyncio.sleep(self.delay_s)
        connected = await self.connect(self.host)
        if connected is None:
            return
        _, reader, writer = connected
        request = self.send(writer, self.host, self.kind, True)
        request.work_s = self.work_s
        try:
            await self.receive(reader, collections.deque([request]))
        finally:
            writer.transport.abort()
