"""Targets of Meta/soak, and what they and the callers see of a request."""

import asyncio
import random
import time

# Time for which an entry of a target stays in state draining before it is removed.
DRAINING_S = 3.0
# A copy of a refusal follows the next request on its connection after at most this time.
MAX_COPY_DELAY_S = 0.008
FIRST_BORN_MS = 1700000000000
# The entry of a target that has started again is written up to this time later.
MAX_ENTRY_DELAY_S = 1.0
HEARTBEAT_S = 1.5
# Time after which an entry that is not written again is removed.
EXPIRY_S = 3 * HEARTBEAT_S
# Time for which the entry of its earlier name stays.
LAPSE_S = (0.2, 3.0)


class Run:
    """Work on a request at a target."""

    def __init__(self, target, service, arrived_at=None):
        self.target = target
        self.service = service
        self.started_at = time.monotonic()
        self.arrived_at = arrived_at or self.started_at
        # Empty while the target works.
        self.ended_at = None
        # True if the target was not allowed to finish.
        self.is_cancelled = False
        # True if a copy of a refusal was written where the response was due.
        self.is_behind_copy = False

    def end(self):
        if self.ended_at is None:
            self.ended_at = time.monotonic()

    def is_unfinished_at(self, moment):
        return self.ended_at is None or self.ended_at >= moment


class Request:
    """What a caller and the targets saw of one request."""

    def __init__(self, request_id, kind, host):
        self.id = request_id
        self.kind = kind
        self.host = host
        # True if it was the first on its connection, and if the host said that it was ready.
        self.is_first = False
        self.to_ready_host = host.ready
        # Time that a target works on it, if it is not drawn at random.
        self.work_s = None
        # True if it carries an idempotency key.
        self.is_keyed = False
        # The caller's deadline, in seconds after it was sent.
        self.deadline_s = kind.deadline_s
        self.sent_at = None
        self.ended_at = None
        self.status = None  # Empty if the connection ended without a complete response.
        self.error = ""
        # True if a target gave the response.
        self.from_target = False
        # Headers of a response of the host.
        self.outcome = ""
        self.reason = ""
        self.received = 0
        self.runs = []

    def end(self):
        """Notes that its caller has the response, or that its connection has ended."""
        self.ended_at = time.monotonic()
        self.host.unanswered.discard(self)


class Connection:
    """Connection to a target."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        # Refusal of the last request, if a copy of it follows.
        self.copy = None
        # Work on the request in progress.
        self.run = None
        # True if the target has closed it to start again.
        self.is_broken = False

    def break_off(self):
        """Ends the work and the connection."""
        self.is_broken = True
        if self.run is not None:
            self.run.end()
        self.writer.transport.abort()


class Target:
    """Back end that speaks the platform's headers."""

    def __init__(self, name, service, zone, soak, rng):
        self.first_name = name
        self.name = name
        self.service = service
        self.zone = zone
        self.soak = soak
        self.rng = rng
        self.slots = asyncio.Semaphore(soak.deployment.slots)
        self.waiting = 0
        self.address = None
        self.entries_written = 0
        # State that its last entry states, and when the store has first accepted that it leaves.
        self.state = None
        self.left_at = None
        # Entries reach the platform in their order.
        self.entry_lock = asyncio.Lock()
        # How often a process has started at the address.
        self.starts = 1
        self.first_started_at = time.monotonic()
        self.born_ms = FIRST_BORN_MS
        self.connections = set()
        # Faults in force: a factor on its work, and what it does to which share of its requests.
        self.work_factor = 1.0
        self.faults = []

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def register(self, state):
        """Writes the target's entry; removes it if `state` is None."""
        async with self.entry_lock:
            self.entries_written += 1
            entry = None if state is None else {
                "service": self.service, "zone": self.zone, "version": "v1",
                "slots": self.soak.deployment.slots, "state": state, "addr": self.address,
                "cold-remaining-s": 0, "seq": self.entries_written, "born": self.born_ms,
            }
            self.state = state
            await asyncio.to_thread(self.soak.fleet.write_row, "servers", self.name, entry)
            if state != "ready" and self.left_at is None:
                self.left_at = time.monotonic()

    async def write_again(self):
        """Writes the entry once more after the store has come back from a copy.

        The platform removes that of a target that has ended after some seconds of silence.
        """
        await asyncio.sleep(EXPIRY_S if self.state is None else self.rng.uniform(0.0, HEARTBEAT_S))
        await self.register(self.state)

    async def leave(self):
        await self.register("draining")
        await asyncio.sleep(DRAINING_S)
        await self.register(None)

    async def restart(self):
        """Starts again at the same address, with another name or only a later start time.

        Half of the restarts keep the connections, so that a host meets both on one connection. The
        entry of the earlier name lapses a while later.
        """
        earlier = self.name
        has_other_name = self.rng.random() < 0.5
        is_closing = self.rng.random() < 0.5
        entry_delay_s = self.rng.choice((0.0, self.rng.uniform(0.0, MAX_ENTRY_DELAY_S)))
        lapse_s = self.rng.uniform(*LAPSE_S)
        self.soak.counts["restarts with another name" if has_other_name
                         else "restarts with the same name"] += 1
        self.starts += 1
        self.entries_written = 0
        since_first_ms = int(1000 * (time.monotonic() - self.first_started_at))
        self.born_ms = max(self.born_ms + 1, FIRST_BORN_MS + since_first_ms)
        if has_other_name:
            self.name = f"{self.first_name}-{self.starts}"
        if is_closing:
            self.soak.counts["restarts that close connections"] += 1
            for connection in self.connections:
                connection.break_off()
        await asyncio.sleep(entry_delay_s)
        if self not in self.soak.departures:
            await self.register("ready")
        if has_other_name:
            await asyncio.sleep(lapse_s)
            await asyncio.to_thread(self.soak.fleet.write_row, "servers", earlier, None)

    def trouble(self):
        """What is wrong with the target now by itself; changes after each period of the noise."""
        noise = self.soak.deployment.noise
        period = int(time.monotonic() / noise.period_s)
        return random.Random(f"{self.soak.options.seed}-{self.name}-{period}").choices(
            ("", "errors", "slow"), (1 - noise.errors - noise.slow, noise.errors, noise.slow))[0]

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                if not await self.answer(head, body, connection):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # The soak is over.
        finally:
            self.connections.discard(connection)
            writer.close()

    async def answer(self, head, _, connection):
        arrived_at = time.monotonic()
        reader, writer = connection.reader, connection.writer
        is_behind_copy = await self.write_copy(connection)
        request_id = head[1].get("x-pimentopin-attempt-id", "")
        request = self.soak.requests.get(request_id)
        if request is None or head[1].get("x-pimentopin-expect-instance", self.name) != self.name:
            await self.refuse(connection, 421, request_id)
            return True
        fault = self.draw_fault()
        # The copy belongs where the response to a request is due that runs.
        is_refused = not is_behind_copy and self.rng.random() < self.soak.options.copies
        if is_refused or fault == "shed" or self.waiting >= self.soak.deployment.queue:
            await self.refuse(connection, 503, request_id)
            return True
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        if connection.is_broken:
            self.slots.release()
            return False
        run = Run(self.name, self.service, arrived_at)
        run.is_behind_copy = is_behind_copy
        connection.run = run
        request.runs.append(run)
        try:
            work_s = request.work_s or self.draw_work_s(request.kind) * self.soak.options.work
            work_s *= self.work_factor
            trouble = self.trouble()
            if trouble == "slow":
                work_s *= 4
            elif trouble == "errors":
                work_s /= 4
            if request.work_s is None and self.rng.random() < 0.03:
                work_s *= 7
            # A connection that the caller closes ends the work.
            gone = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({gone}, timeout=None if fault == "hang" else work_s)
            if done:
                if gone.exception() is None and gone.result():
                    self.soak.fail(f"EARLY {request.id} ({request.kind.name}) at {request.host.name}: a "
                                   f"request came before the response of {self.name} on a connection")
                run.is_cancelled = not connection.is_broken
                return False
            gone.cancel()
            try:
                await gone
            except asyncio.CancelledError:
                pass
        finally:
            run.end()
            self.slots.release()
        if fault == "reset":
            writer.transport.abort()
            return False
        failed = fault == "errors" or self.rng.random() < (
            self.soak.deployment.noise.fails if trouble == "errors" else 0.02)
        closes = self.rng.random() < 0.05
        size = 200 if failed else int(request.kind.body_bytes * self.rng.uniform(0.3, 1.8))
        headers = {
            "X-Pimentopin-Attempt-Id": request.id,
            "X-Pimentopin-Response-Seal": f"seal.{request.id}",
            "X-Pimentopin-Backend-Load": f"0,{self.waiting},{self.soak.deployment.slots}",
        }
        if closes:
            headers["Connection"] = "close"
        await respond(writer, 500 if failed else 200, headers, b"x" * size)
        return not closes

    async def refuse(self, connection, status, request_id):
        headers = {"X-Pimentopin-Attempt-Id": request_id} if request_id else {}
        refusal = status, {**headers, "X-Pimentopin-Not-Executed": "1"}, b""
        if self.soak.options.copies > 0:
            connection.copy = refusal
        await respond(connection.writer, *refusal)

    async def write_copy(self, connection):
        """Writes the refusal of the request before once more; true if there is one."""
        if connection.copy is None:
            return False
        await asyncio.sleep(self.rng.uniform(0.0, MAX_COPY_DELAY_S))
        copy, connection.copy = connection.copy, None
        await respond(connection.writer, *copy)
        self.soak.counts[f"copies of {copy[0]}"] += 1
        return True

    def draw_fault(self):
        """Draws which of the faults in force the next request meets."""
        return next((fault for fault, share in self.faults if self.rng.random() < share), "")

    def draw_work_s(self, kind):
        if kind.spread is None:
            return kind.work_s * self.rng.expovariate(1.0)
        return kind.work_s * self.rng.lognormvariate(-kind.spread ** 2 / 2, kind.spread)


async def read_head(reader):
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            return first.decode("latin1").split(), headers
        name, _, value = line.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def respond(writer, status, headers, body):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()
