"""Small stand-ins of the users' platform, for the scripts of this review: the store, workers and clients.

They do what PROTOCOL.md says and no more. Only the standard library is used. Everything listens on 127.0.0.1.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


def now_ms():
    return int(time.monotonic() * 1000)


# --- HTTP ------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """One HTTP/1.1 message: first line, headers and body; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        entry = (await reader.readline()).decode("latin-1")
        if entry in ("\r\n", "\n", ""):
            break
        name, _, value = entry.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


async def serve_http(handler, port=0):
    """Serves handler(method, target, headers, body) -> (status, object), or None for a connection that breaks."""

    async def connection(reader, writer):
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ", 2)
                reply = await handler(method, target, message[1], message[2])
                if reply is None:
                    break
                status, content = reply
                body = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=2**22, backlog=1000)
    return server, server.sockets[0].getsockname()[1]


async def call(port, method, target, content=None, headers=None, timeout=4.0):
    """Returns (status, object); status 0 when there was no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**22)
            body = b"" if content is None else json.dumps(content).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in {"Host": "127.0.0.1", **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            return int(message[0].split(" ")[1]), json.loads(message[2]) if message[2] else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# --- The platform's metadata store -----------------------------------------------------------------------------------


class Store:
    """Linearizable rows with versions, as on the page. A value may have `row-bytes` bytes before base64, the more
    generous of the two readings of "base64 of at most row-bytes"."""

    ROW_BYTES = 65536
    HISTORY_S = 20
    TRANSACTION_S = 0.005
    FAR = "\U0010ffff"

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 1
        self.dropped_to = 0
        self.changed = asyncio.Event()
        self.oversized = 0
        self.port = 0

    async def start(self):
        _, self.port = await serve_http(self.handle)

    def operator_put(self, key, content):
        self.version += 1
        self._put(("op", "", key), base64.b64encode(json.dumps(content).encode()).decode())
        self._notify()

    def _put(self, name, value):
        self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value, time.monotonic()))

    def _remove(self, name):
        if self.rows.pop(name, None) is not None:
            self.history.append((self.version, name, None, time.monotonic()))

    def _notify(self):
        while self.history and time.monotonic() - self.history[0][3] > self.HISTORY_S:
            self.dropped_to = self.history.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/carobflow/rows-tx":
            return await self.transact(json.loads(body), len(body))
        if url.path == "/carobflow/rows-get":
            return self.get(query)
        if url.path == "/carobflow/rows-feed":
            return await self.feed(query)
        return 404, None

    async def transact(self, content, size):
        await asyncio.sleep(self.TRANSACTION_S)
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        expect, puts, removals = (content.get(part, []) for part in ("expect", "put-rows", "remove"))
        too_large = [row for row in puts if len(base64.b64decode(row["value"])) > self.ROW_BYTES]
        if len(expect) + len(puts) + len(removals) > 100 or size > 1_000_000 or too_large:
            self.oversized += 1
            if self.oversized <= 3:
                sizes = [(row["table"], row["key"], len(base64.b64decode(row["value"]))) for row in too_large]
                self.record(f"store refuses a write with 400: rows over row-bytes {sizes}")
            return 400, None
        if any(row["table"] in ("op", "servers") for row in puts + removals):
            return 403, None
        if any(self.rows.get(name(row), (None, 0))[1] != row["schema-version"] for row in expect):
            rows = [self.row(name(row)) for row in expect if name(row) in self.rows]
            return 412, {"rows": rows, "schema-version": self.version, "now-ms": now_ms()}
        self.version += 1
        for row in puts:
            self._put(name(row), row["value"])
        for row in removals:
            self._remove(name(row))
        self._notify()
        return 200, {"schema-version": self.version, "now-ms": now_ms()}

    def row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "schema-version": version}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("start-key", ""), query.get("target") or None
        names = sorted(
            (name for name in self.rows if name[:2] == (table, part) and name[2] >= start and (end is None or name[2] < end)),
            key=lambda name: name[2].encode(),
        )
        limit = min(int(query.get("limit", 500)), 500)
        rows, size = [], 0
        for name in names[:limit]:
            row = self.row(name)
            size += len(row["value"])
            if rows and size > 1_000_000:
                break
            rows.append(row)
        more = len(rows) < len(names)
        return 200, {"rows": rows, "has-more": more, "schema-version": self.version, "now-ms": now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            if after < self.dropped_to:
                return 410, None
            rows = [
                {"table": name[0], "part": name[1], "key": name[2], "schema-version": version}
                | ({"deleted": True} if value is None else {"value": value})
                for version, name, value, _ in self.history
                if version > after and name[0] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "schema-version": self.version, "now-ms": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


# --- Workers ---------------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, run, spec, checkpoint):
        self.task, self.run, self.spec, self.checkpoint = task, run, spec, checkpoint
        self.started = time.monotonic()
        self.saved = checkpoint
        self.stopping = False
        self.ended = None


class Worker:
    """One life after the other of the worker of a `side` machine. `behave(worker, run)` is a coroutine that ends the
    run; the usual one ends it `done` after the milliseconds in its spec."""

    MAX_HOLD_MS = 6000
    STOP_GRACE_S = 0.1
    BEAT_S = 1.5

    def __init__(self, record, index, zone, rack, cpu=32000, memory=125000, service="desk", behave=None, on_end=None):
        self.record, self.index, self.zone, self.rack = record, index, zone, rack
        self.cpu, self.memory, self.service = cpu, memory, service
        self.behave = behave or Worker.finish_after_spec
        self.on_end = on_end
        self.control_port = 0
        self.port = 0
        self.server = None
        self.life = 0
        self.id = f"i-{index:04x}"
        self.tasks = set()
        self.log = []  # (time, worker, life, event, task, run, detail)
        self.up = False
        self.connections = set()

    async def start(self, same_id=False, beat_after=0.0):
        self.life += 1
        if not same_id:
            self.id = f"i-{self.index:04x}{self.life:04x}"
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 1
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.end_number = 0
        self.sequence = 0
        self.draining = False
        self.changed = asyncio.Event()
        self.up = True
        if self.server is None:
            # The port stays the worker's; while it is down, connections are closed at once.
            self.server, self.port = await serve_http(self.handle, self.port)
        self.spawn(self.beats(beat_after))
        self.spawn(self.expire())
        return self

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note(self, event, run, detail=""):
        self.log.append((time.monotonic(), self.index, self.life, event, run.task, run.run, detail))
        self.record(f"worker {self.index} life {self.life}: {event} {run.task} run {run.run} {detail}".rstrip())

    async def crash(self):
        """Everything that runs is gone; nothing is said to anybody."""
        self.up = False
        self.server.close()
        self.server = None
        runs, self.running = list(self.running.values()), {}
        for run in runs:
            run.ended = "crashed"
            self.note("crashed-under", run)
            if self.on_end is not None:
                self.on_end(run, "crashed")
        self.changed.set()
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def report(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "memory-limit-mb": self.memory, "gpus": 0},
            "labels": ["a", self.rack],
            "clock-ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beats(self, beat_after):
        await asyncio.sleep(beat_after)
        while True:
            status, _ = await call(
                self.control_port, "POST", f"/carobflow/workers/{self.id}/heartbeat", self.report(), timeout=1.0
            )
            await asyncio.sleep(self.BEAT_S if status == 200 else 0.3)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self.lease_until:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if run.ended is not None:
            return
        run.ended = how
        self.running.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.run, how, run.saved])
        self.note("ended-" + how, run, run.saved)
        self.changed.set()
        if self.on_end is not None:
            self.on_end(run, how)

    @staticmethod
    async def finish_after_spec(worker, run):
        await asyncio.sleep(float(run.spec.split()[0]) / 1000)
        worker.end(run, "done")

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None
        if headers.get("carobflow-expected-instance", self.id) != self.id:
            return 421, {"clock-ms": self.clock_ms()}
        content = json.loads(body) if body else {}
        fence = content.get("fencing-token", 0)
        if fence < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        life = self.life
        if target == "/carobflow/hold":
            reply = await self.hold(content)
        elif target == "/carobflow/run-start":
            reply = self.run_start(content)
        elif target == "/carobflow/run-stop":
            reply = self.run_stop(content)
        elif target == "/carobflow/pace":
            reply = (200, {"clock-ms": self.clock_ms()})
        else:
            reply = (404, None)
        return reply if self.up and self.life == life else None

    def extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock_ms() + self.MAX_HOLD_MS))

    def run_start(self, content):
        task, number = content["task"], content["run"]
        clock = {"clock-ms": self.clock_ms()}
        current = self.running.get(task)
        if content["deadline-ms"] < self.clock_ms():
            return 409, clock | {"reason": "late"}
        self.extend(content["deadline-ms"])
        if current is not None and current.run == number:
            return 200, clock
        if current is not None or number <= self.highest.get(task, 0):
            return 409, clock | {"reason": "old"}
        run = Run(task, number, content["task-spec"], content.get("checkpoint", ""))
        self.running[task] = run
        self.note("started", run, run.checkpoint)
        self.spawn(self.behave(self, run))
        return 200, clock

    def run_stop(self, content):
        task, number = content["task"], content["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number and not run.stopping:
            run.stopping = True
            self.note("stopping", run)
            self.spawn(self.stop_later(run))
        return 200, {"clock-ms": self.clock_ms()}

    async def stop_later(self, run):
        await asyncio.sleep(self.STOP_GRACE_S)
        self.end(run, "stopped")

    def percent(self, run):
        try:
            length = float(run.spec.split()[0]) / 1000
        except (ValueError, IndexError):
            return 100
        return min(99, int((time.monotonic() - run.started) / max(length, 0.001) * 100))

    async def hold(self, content):
        if "deadline-ms" in content:
            self.extend(content["deadline-ms"])
        self.ends = [end for end in self.ends if end[0] > content.get("last-seen", 0)]
        until = time.monotonic() + min(content.get("wait-ms", 0), 2000) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
            if not self.up:
                break
        running = [[run.task, run.run, run.saved, self.percent(run), 0] for run in self.running.values()]
        return 200, {
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }


class Gangs:
    """What the members of gangs have in common, on all workers: they work from the moment when all are there, they end
    `done` together, and when one ends otherwise, the others end `broken`. One that waits too long ends `alone`."""

    TIMEOUT_S = 3.0
    NEWS_S = 0.02

    def __init__(self, size):
        self.size = size
        self.runs = {}  # (ID.K.STEP, run) -> {task: (worker, run)}
        self.complete = {}

    @staticmethod
    def key(run):
        return run.task.rsplit(".", 1)[0], run.run

    async def behave(self, worker, run):
        key = self.key(run)
        members = self.runs.setdefault(key, {})
        members[run.task] = (worker, run)
        complete = self.complete.setdefault(key, asyncio.Event())
        if len(members) == self.size:
            complete.set()
        try:
            await asyncio.wait_for(complete.wait(), self.TIMEOUT_S)
        except TimeoutError:
            worker.end(run, "alone")
            return
        await asyncio.sleep(float(run.spec.split()[0]) / 1000)
        if run.ended is None:
            for other, member in list(members.values()):
                if member.ended is None:
                    other.end(member, "done")

    def on_end(self, run, how):
        """Called when a member has ended, or its worker has crashed."""
        members = self.runs.get(self.key(run), {})
        if how != "done":
            asyncio.get_running_loop().call_later(self.NEWS_S, self.break_up, members)

    @staticmethod
    def break_up(members):
        for worker, member in list(members.values()):
            if member.ended is None:
                worker.end(member, "broken")
