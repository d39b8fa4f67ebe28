"""A small deployment on loopback: the project's processes, and stand-ins of the platform's store and of the workers.

The stand-ins follow the users' pages. Everything in here runs in one event loop, so that the record has one clock.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"

# The bounds of the small deployments (the pages of the repair co-op).
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_GRACE_S = 0.2
STORE_ANSWER_S = 0.004
CANCEL_S = 3.0
CONTACT_S = 3.0


class Skip(Exception):
    """The case could not run as planned: the deployment did not come up, or an expected event did not come."""


def free_port():
    """A free port below those that the system gives to outgoing connections, so that a process can start again there."""
    while True:
        port = random.randint(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in free_port.taken:
            free_port.taken.add(port)
            return port


free_port.taken = set()


class Record:
    """What was sent, answered and run, with the time since the start of the test."""

    def __init__(self, directory):
        self.began = time.monotonic()
        self.file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1. A handler returns (status, object), or None for no answer on this connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self, port=None):
        self.server = await asyncio.start_server(self.serve, HOST, port or 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends as a crash does: the port closes, and connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body), writer)
                if answer is None:
                    # The connection stays open and delivers nothing further.
                    await asyncio.sleep(3600)
                status, content = answer
                text = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http(port, method, target, body=None, headers=None, timeout=5.0):
    """Returns (status, object); (0, None) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            for name, value in {"Host": f"{HOST}:{port}", "Content-Type": "application/json",
                                "Content-Length": str(len(text)), "Connection": "close",
                                **(headers or {})}.items():
                lines.append(f"{name}: {value}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            first, _, content = await read_message(reader)
            try:
                value = json.loads(content) if content else None
            except ValueError:
                value = None
            return int(first.split(" ")[1]), value
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


# The platform's store


class Store:
    """The platform's metadata store: linearizable rows, transactions and feeds. Each process has an address of its own
    for it, so that the test can disturb one of them."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}  # (table, part, key) -> (value, version)
        self.history = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Condition()
        self.doors = {}
        self.last_writer = None
        # Hooks of a test: called with (door, request, writer); a true result takes the call over.
        self.on_call = None
        self.silenced = set()

    async def open_door(self, name):
        server = HttpServer(lambda request, writer: self.handle(name, request, writer))
        await server.start()
        self.doors[name] = server
        return server.port

    async def handle(self, door, request, writer):
        if writer in self.silenced:
            return None
        if self.on_call is not None:
            taken, answer = await self.on_call(door, request, writer)
            if taken:
                return answer
        await asyncio.sleep(STORE_ANSWER_S)
        answer = await self.answer(door, request)
        return None if writer in self.silenced else answer

    async def answer(self, door, request):
        if request.path == "/carobflow/rows-tx":
            return await self.transact(door, request.json())
        if request.path == "/carobflow/rows-get":
            return self.get(request.query)
        if request.path == "/carobflow/rows-feed":
            return await self.feed(request.query)
        if request.path == "/carobflow/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == request.query["table"]})
            return 200, {"parts": parts}
        return 404, {}

    def stamp(self):
        return {"schema-version": self.version, "now-ms": int(time.monotonic() * 1000)}

    def row(self, name):
        value, version = self.rows.get(name, (None, 0))
        result = {"table": name[0], "part": name[1], "key": name[2], "schema-version": version}
        if value is not None:
            result["value"] = value
        return result

    async def transact(self, door, body):
        def name_of(row):
            return row["table"], row.get("part", ""), row["key"]

        expected = body.get("expect", [])
        if any(self.rows.get(name_of(row), (None, 0))[1] != row["schema-version"] for row in expected):
            return 412, {"rows": [self.row(name_of(row)) for row in expected], **self.stamp()}
        if any(row["table"] in ("op", "servers") for row in body.get("put-rows", []) + body.get("remove", [])):
            return 403, {}
        if expected and any(row["table"] != "inbox" for row in expected):
            self.last_writer = door
        await self.write([(name_of(row), row["value"]) for row in body.get("put-rows", [])]
                         + [(name_of(row), None) for row in body.get("remove", [])])
        return 200, self.stamp()

    async def write(self, changes):
        self.version += 1
        for name, value in changes:
            if value is None:
                if self.rows.pop(name, None) is None:
                    continue
            else:
                self.rows[name] = (value, self.version)
            self.history.append((self.version, *name, value))
        async with self.changed:
            self.changed.notify_all()

    async def operator(self, key, content):
        """The operator writes or removes op/KEY."""
        self.record.note(f"operator writes op/{key}: {json.dumps(content)}")
        value = None if content is None else base64.b64encode(json.dumps(content).encode()).decode()
        await self.write([(("op", "", key), value)])
        self.record.note(f"operator has the acknowledgement for op/{key}")

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted((key for t, p, key in self.rows if (t, p) == (table, part)), key=str.encode)
        start, end = query.get("start-key", "").encode(), query.get("target", "").encode()
        found = [key for key in keys if key.encode() >= start and (not end or key.encode() < end)]
        return 200, {"rows": [self.row((table, part, key)) for key in found[:limit]],
                     "has-more": len(found) > limit, **self.stamp()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1000
        while True:
            rows = []
            for version, t, part, key, value in self.history:
                if t == table and version > after:
                    row = {"table": t, "part": part, "key": key, "schema-version": version}
                    row.update({"deleted": True} if value is None else {"value": value})
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows[:500], **self.stamp()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# Workers


class Worker:
    """One worker, as the pages describe it. The text of a task is the milliseconds for which it works."""

    def __init__(self, record, name, uptime_s=400.0, labels=("a", "r1-1"), zone="z1", cpu=32000):
        self.record = record
        self.id = name
        self.labels, self.zone, self.cpu = list(labels), zone, cpu
        self.agent_port = None
        self.port = free_port()
        self.server = None
        self.up = False
        self.dark = False
        self.starts = []  # (time, task, run, life)
        self.ends = []  # (time, task, run, how)
        self.noted = set()  # (task, run) of ends that last-seen has reached
        # Hook of a test: called with a start order; a true result means that it gets no answer.
        self.on_start = None
        self.life = 0
        self.begin(uptime_s)

    def begin(self, uptime_s):
        self.life += 1
        self.clock_start = time.monotonic() - uptime_s
        self.born = int((time.time() - uptime_s) * 1000)
        self.fence, self.sequence, self.next_end = 0, 0, 1
        self.lease_until = 0.0
        self.running, self.finished, self.highest = {}, [], {}
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self):
        self.server = HttpServer(self.handle)
        await self.server.start(self.port)
        self.up = True
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.tick())

    async def crash(self):
        """Ends without a word. All that runs ends with it."""
        self.record.note(f"worker {self.id} life {self.life} crashes; it ran {sorted(self.running)}")
        self.up = False
        for task, run in list(self.running.items()):
            self.ends.append((self.record.now(), task, run["run"], "crashed"))
        self.running.clear()
        await self.server.stop()

    async def restart(self):
        """Starts again under the id that it had; its counts and its clock start anew."""
        self.begin(0.0)
        self.dark = False
        self.record.note(f"worker {self.id} life {self.life} starts, born {self.born}")
        await self.start()

    async def lose_power(self):
        """Crashes without a word, and answers nothing until it is back; connections to it hang."""
        self.record.note(f"worker {self.id} life {self.life} goes dark; it ran {sorted(self.running)}")
        self.dark = True
        for task, run in list(self.running.items()):
            self.ends.append((self.record.now(), task, run["run"], "crashed"))
        self.running.clear()

    async def return_as(self, name):
        """Is back after the loss of power, as a new worker with an id of its own."""
        self.up = False
        await self.server.stop()
        self.id = name
        await self.restart()

    async def beat(self):
        life = self.life
        while self.up and self.life == life:
            self.sequence += 1
            body = {"service": "desk", "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                    "capacity": {"cpu": self.cpu, "memory-limit-mb": 125000, "gpus": 0}, "labels": self.labels,
                    "clock-ms": self.clock(), "sequence": self.sequence, "born": self.born}
            if not self.dark:
                await http(self.agent_port, "POST", f"/carobflow/workers/{self.id}/heartbeat", body, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        life = self.life
        while self.up and self.life == life:
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if now > self.lease_until:
                    self.end(task, "lapsed")
                elif run["ends"] is not None and now >= run["ends"]:
                    self.end(task, "done")
            await asyncio.sleep(0.005)

    def end(self, task, how):
        run = self.running.pop(task)["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.finished.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.ends.append((self.record.now(), task, run, how))
        self.record.note(f"worker {self.id} life {self.life}: {task} run {run} ends {how}")
        self.changed.set()

    async def handle(self, request, writer):
        if self.dark:
            return None
        if request.headers.get("carobflow-expected-instance", self.id) != self.id:
            return 421, {"clock-ms": self.clock()}
        if request.path == "/health":
            return 200, {}
        body = request.json()
        if request.path == "/carobflow/run-start":
            self.record.note(f"worker {self.id} life {self.life} receives run-start {json.dumps(body)}")
            if self.on_start is not None and self.on_start(body):
                self.record.note(f"worker {self.id} gives no answer to that call")
                return None
            return self.run_start(body)
        if request.path == "/carobflow/run-stop":
            return self.run_stop(body)
        if request.path == "/carobflow/hold":
            return await self.hold(body)
        if request.path == "/carobflow/pace":
            return 200, {"clock-ms": self.clock()}
        return 404, {}

    def fenced(self, body):
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def extend_lease(self, body):
        if "deadline-ms" in body:
            left = min(body["deadline-ms"] - self.clock(), MAX_HOLD_MS) / 1000
            self.lease_until = max(self.lease_until, time.monotonic() + left)

    def refuse(self, reason):
        return 409, {"clock-ms": self.clock(), "reason": reason}

    def run_start(self, body):
        """Carries the order out."""
        if self.fenced(body):
            return self.refuse("fence")
        task, run = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            return 200, {"clock-ms": self.clock()}
        if known is not None or run <= self.highest.get(task, 0):
            self.extend_lease(body)
            return self.refuse("old")
        if body["deadline-ms"] <= self.clock():
            return self.refuse("late")
        self.extend_lease(body)
        now = time.monotonic()
        work = int(body["task-spec"])
        self.running[task] = {"run": run, "began": now, "ends": now + work / 1000 if work else None}
        self.starts.append((self.record.now(), task, run, self.life))
        self.record.note(f"worker {self.id} life {self.life}: {task} run {run} starts")
        return 200, {"clock-ms": self.clock()}

    def run_stop(self, body):
        if self.fenced(body):
            return self.refuse("fence")
        task, run = body["task"], body["run"]
        self.record.note(f"worker {self.id} life {self.life} receives run-stop of {task} run {run}")
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self.end(task, "stopped")
        return 200, {"clock-ms": self.clock()}

    async def hold(self, body):
        if self.fenced(body):
            return self.refuse("fence")
        self.extend_lease(body)
        seen = body.get("last-seen", 0)
        for entry in self.finished:
            if entry[0] <= seen:
                self.noted.add((entry[1], entry[2]))
                self.record.note(f"worker {self.id} life {self.life}: the end of {entry[1]} run {entry[2]} "
                                 "has been taken note of")
        self.finished = [entry for entry in self.finished if entry[0] > seen]
        if not self.finished and body.get("wait-ms", 0):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["wait-ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run["run"], "", 100 if run["ends"] is None else
                    min(100, int(100 * (now - run["began"]) / max(0.001, run["ends"] - run["began"]))), 0]
                   for task, run in self.running.items()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running,
                     "finished": self.finished[:500]}


# The project's processes


def fill_in(template, fields):
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return str(found)

    with open(os.path.join(ROOT, template), encoding="utf-8") as file:
        return re.sub(r"\{\{([a-z0-9.\-]+)\}\}", value, file.read())


class Node:
    def __init__(self, bed, role, name, fields):
        self.bed, self.role, self.name, self.fields = bed, role, name, fields
        self.process = None

    async def start(self):
        path = os.path.join(self.bed.directory, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_in(f"deploy/{self.role}.ini", self.fields))
        log = open(os.path.join(self.bed.directory, self.name + ".log"), "ab")
        # The command of the deploy file.
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/bin/carobflowd"), "--settings-variable", "CAROBFLOW_BOOT",
            cwd=ROOT, env={"CAROBFLOW_BOOT": path, "PATH": os.environ.get("PATH", "")},
            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.bed.record.note(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def wait(self):
        await self.process.wait()


class Bed:
    """Entries, agents with their workers, and the store."""

    def __init__(self, directory):
        self.case_directory = directory
        self.record = Record(directory)
        self.directory = tempfile.mkdtemp(prefix="carobflow-review-")
        self.store = Store(self.record)
        self.entries, self.agents, self.workers = [], [], []

    async def start(self, workers, entries=2, routes=None):
        await self.store.operator("config", configuration(1, routes or ["desk"]))
        self.workers = workers
        for index, worker in enumerate(workers):
            name = f"side-{index + 1}"
            fields = await self.fields(name, worker.zone)
            fields["app"] = f"{HOST}:{worker.port}"
            worker.agent_port = int(fields["listen"]["control-plane"].split(":")[1])
            self.agents.append(Node(self, "agent", name, fields))
        for index in range(entries):
            name = f"frontend-{index + 1}"
            self.entries.append(Node(self, "entry", name, await self.fields(name, "z1")))
        for worker in workers:
            await worker.start()
        for node in self.agents + self.entries:
            await node.start()
        await self.wait_for(lambda: self.is_ready(), 20, "the deployment is ready")
        # Every worker has checked in and is known to the leader after two check-ins.
        await asyncio.sleep(2 * HEARTBEAT_S + 1)
        self.record.note("the deployment is ready")

    async def is_ready(self):
        for entry in self.entries:
            status, _ = await http(entry.ready_port, "GET", "/carobflow/readiness", timeout=1.0)
            if status != 200:
                return False
        return True

    async def fields(self, name, zone):
        ports = [free_port() for _ in range(5)]
        return {"node-name": name, "zone": zone, "ip": HOST,
                "listen": {"frontend": f"{HOST}:{ports[0]}", "ready": f"{HOST}:{ports[1]}",
                           "control-plane": f"{HOST}:{ports[2]}"},
                "internal-port-range": [ports[3], ports[4]],
                "platform": {"address": f"{HOST}:{await self.store.open_door(name)}"},
                "bounds": {"max-hold-ms": MAX_HOLD_MS}}

    async def wait_for(self, condition, limit_s, what):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise Skip(f"it did not happen within {limit_s} s that {what}")

    def leader(self):
        """The process that has last written to the store under a condition."""
        return next((node for node in self.agents if node.name == self.store.last_writer), None)

    async def client(self, entry, method, job, steps=None, spec=None, route="desk", wait_ms=3000,
                     extra=None):
        body = None if steps is None else {"task-spec": spec, "steps": steps, **(extra or {})}
        target = f"/{route}/{job}"
        self.record.note(f"client sends {method} {target} to {entry.name}"
                         + (f" {json.dumps(body)}" if body else ""))
        status, content = await http(entry.http_port, method, target, body,
                                     {"Host": "desk.example", "Carobflow-Deadline-Remaining": str(wait_ms)},
                                     timeout=wait_ms / 1000)
        self.record.note(f"client has {status or 'no answer'} {json.dumps(content)} to {method} {target}")
        return status, content

    def starts(self, job):
        return sorted((at, task, run, worker.id, life) for worker in self.workers
                      for at, task, run, life in worker.starts if task.startswith(job + "."))

    async def stop(self):
        for node in self.entries + self.agents:
            if node.process is not None and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass
                await node.process.wait()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print("logs:", self.directory, file=sys.stderr)


Node.http_port = property(lambda self: int(self.fields["listen"]["frontend"].split(":")[1]))
Node.ready_port = property(lambda self: int(self.fields["listen"]["ready"].split(":")[1]))


def configuration(version, routes):
    return {"version": version,
            "routes": [{"name": f"r-{name}", "host": "desk.example", "path-prefix": f"/{name}/", "service": "desk",
                        "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 250, "priority": 0,
                        "max-attempts": 3, "stretch": 1.5} for name in routes],
            "services": [{"name": "desk", "admission-check": False}], "limits": {}}


def run_case(directory, case):
    """Runs a case: an async function of the bed, which returns the sentence that says how the rule was broken, or None.
    Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    async def main():
        bed = Bed(directory)
        try:
            broken = await asyncio.wait_for(case(bed), 105)
            bed.record.note(f"BROKEN: {broken}" if broken else "the rule held")
            return 1 if broken else 0
        except Skip as reason:
            bed.record.note(f"the case could not run: {reason}")
            return 2
        except asyncio.TimeoutError:
            bed.record.note("the case could not run: time is up")
            return 2
        except Exception as error:  # A fault of the script is no broken rule.
            bed.record.note(f"the case could not run: {error!r}")
            return 2
        finally:
            await bed.stop()

    def on_signal(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, on_signal)
    code = 2
    try:
        code = asyncio.run(main())
    finally:
        sys.stdout.flush()
    sys.exit(code)
