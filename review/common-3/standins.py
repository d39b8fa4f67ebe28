"""Stand-ins of the users' platform for the scripts of this review, and a small system of real processes.

Everything runs in one event loop: the platform's store, the workers with their check-ins, and the clients. The
project's processes are started as deploy/system.toml says, on loopback addresses, with its templates of the settings.
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
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

# Figures of the deployment "Sông Hồng Repair Co-op" (SYSTEM.md).
BEAT_S = 1.5
MAX_HOLD_S = 6.0
STOP_GRACE_S = 0.2
STORE_S = 0.004
SIDE_MEMORY_MB = 128
FRONT_MEMORY_MB = 260
# A worker's steady clock may read anything when a test begins.
UPTIME_MS = 100_000


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes record.txt, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def read_message(reader: asyncio.StreamReader):
    """Returns the first line, the headers and the body of an HTTP message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1 with persistent connections. The handler returns (status, object), or None for no answer."""

    def __init__(self, handler) -> None:
        self._handler = handler
        self._server = None
        self._writers = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 24)

    def close(self) -> None:
        """Closes the port and resets the connections, as the end of the process behind it does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    # A call that gets no answer: its connection delivers nothing further.
                    await reader.read()
                    return
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(host, port, method, path, headers=None, body=None, timeout=5.0):
    """One request on a new connection. Returns (status, object), or (0, reason) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(text)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if not any(name.lower() == "host" for name in (headers or {})):
                lines.append(f"Host: {host}:{port}")
            if body is not None:
                lines.append("Content-Type: application/json")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            first, _, content = await read_message(reader)
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(content) if content else {}
            except ValueError:
                return status, {}
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: tables of rows, transactions with conditions, and the feed of changes."""

    def __init__(self) -> None:
        self.rows = {}
        self.version = 1
        self.history = []
        self._changed = asyncio.Event()
        self._server = HttpServer(self._serve)

    async def listen(self, host, port) -> None:
        await self._server.listen(host, port)

    def close(self) -> None:
        self._server.close()

    def _note(self, name, value) -> None:
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    def _publish(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def operator_write(self, key, value) -> None:
        """The operator's write; the store's response is the acknowledgement."""
        self.version += 1
        self._note(("op", "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self._publish()

    def operator_remove(self, key) -> None:
        self.version += 1
        self._note(("op", "", key), None)
        self._publish()

    @staticmethod
    def _row(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "schema-version": version}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": value}

    def _state(self):
        return {"schema-version": self.version, "now-ms": int(time.monotonic() * 1000) + 1_000_000}

    async def _serve(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(STORE_S)
        if parts.path == "/carobflow/rows-get":
            return self._get(query)
        if parts.path == "/carobflow/rows-feed":
            return await self._feed(query)
        if parts.path == "/carobflow/rows-tx" and method == "POST":
            return (400, {}) if len(body) > 1_000_000 else self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        limit = min(500, int(query.get("limit", "500")))
        start, end = query.get("start-key", ""), query.get("target", "")
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= start
            and (not end or name[2] < end)
        )
        rows, size = [], 0
        for name in names[:limit]:
            value, version = self.rows[name]
            size += len(value) + 200
            if size > 1_000_000:
                break
            rows.append(self._row(name, value, version))
        return 200, {"rows": rows, "has-more": len(rows) < len(names)} | self._state()

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(30.0, int(query.get("wait-ms", "0")) / 1000)
        while True:
            # The newest change of each row, in the order of the versions.
            newest = {}
            for version, name, value in reversed(self.history):
                if version <= after:
                    break
                if name[0] == query["table"] and name not in newest:
                    newest[name] = (version, value)
            rows = [self._row(name, value, version) for name, (version, value) in newest.items()]
            rows.sort(key=lambda row: row["schema-version"])
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows} | self._state()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body):
        names = lambda rows: [(row["table"], row.get("part", ""), row["key"]) for row in rows]
        entries = len(body["expect"]) + len(body["put-rows"]) + len(body["remove"])
        if entries > 100 or any(len(row["value"]) > 65536 for row in body["put-rows"]):
            return 400, {}
        if any(name[0] in ("op", "servers") for name in names(body["put-rows"]) + names(body["remove"])):
            return 403, {}
        for row, name in zip(body["expect"], names(body["expect"])):
            if self.rows.get(name, ("", 0))[1] != row["schema-version"]:
                found = [other for other in names(body["expect"]) if other in self.rows]
                return 412, {"rows": [self._row(other, *self.rows[other]) for other in found]} | self._state()
        self.version += 1
        for row, name in zip(body["put-rows"], names(body["put-rows"])):
            self._note(name, row["value"])
        for name in names(body["remove"]):
            if name in self.rows:
                self._note(name, None)
        self._publish()
        return 200, self._state()


class Run:
    """A start that a worker has carried out."""

    def __init__(self, task, run, worker, life, began) -> None:
        self.task, self.run, self.worker, self.life, self.began = task, run, worker, life, began
        self.ended = None
        self.how = None
        self.number = None
        self.noted = None
        self.timer = None
        # What it was told to do, and the newest checkpoint.
        self.spec = ""
        self.saved = ""
        self.percent = None


class Worker:
    """A worker on its machine: it starts what it is told to start (`admission-check` false)."""

    def __init__(self, system, host, worker_id, zone, rack, cpu=32000) -> None:
        self.system = system
        self.host = host
        self.id = worker_id
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.state = "ready"
        self.life = 0
        self.up = False
        self.runs = []
        # May take over a start call: hook(worker, body) returns true when the call gets no answer from here.
        self.start_hook = None
        self._server = None
        self._beat = None

    async def start(self, worker_id=None) -> None:
        """Begins a life, under the same id unless another one is given. What an earlier life held and knew is gone."""
        self.life += 1
        self.id = worker_id or self.id
        self.born = max(getattr(self, "born", 0) + 1, int(time.time() * 1000))
        self._clock_start = time.monotonic() - (UPTIME_MS / 1000 if self.life == 1 else 0)
        self.fence = 0
        self.lease_until = 0.0
        self.sequence = 0
        self.running = {}
        self.finished = []
        self.highest = {}
        self.next_end = 1
        self._ended = asyncio.Event()
        self._server = HttpServer(self._serve)
        await self._server.listen(self.host, self.system.app_port)
        self.up = True
        self._beat = asyncio.create_task(self._beats(self.life))

    def crash(self) -> None:
        self.up = False
        self._server.close()
        self._beat.cancel()
        for run in list(self.running.values()):
            self._close(run, "crashed")
        self.running = {}
        self.system.record.add(f"worker {self.id} life {self.life} crashes")

    def close(self) -> None:
        """Ends the stand-in."""
        if self.up:
            self.up = False
            self._beat.cancel()
            self._server.close()

    def clock(self) -> int:
        return int((time.monotonic() - self._clock_start) * 1000)

    async def _beats(self, life) -> None:
        while self.up and self.life == life:
            self.sequence += 1
            body = {
                "service": "desk",
                "address": f"{self.host}:{self.system.app_port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "memory-limit-mb": 128000, "gpus": 0},
                "labels": ["a", self.rack],
                "clock-ms": self.clock(),
                "sequence": self.sequence,
                "born": self.born,
            }
            path = f"/carobflow/workers/{self.id}/heartbeat"
            status, _ = await call(self.host, self.system.control_port, "POST", path, body=body, timeout=1.0)
            await asyncio.sleep(BEAT_S if status == 200 else 0.5)

    def _close(self, run, how) -> None:
        run.ended, run.how = self.system.record.now(), how
        if run.timer is not None:
            run.timer.cancel()
        self.system.record.add(f"worker {self.id} life {run.life} ended {run.task} run {run.run}: {how}")

    def end(self, run, how) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._close(run, how)
        run.number = self.next_end
        self.next_end += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.finished.append(run)
        self._ended.set()
        self._ended = asyncio.Event()

    def _extend(self, body) -> None:
        if "deadline-ms" in body:
            until = min(self._clock_start + body["deadline-ms"] / 1000, time.monotonic() + MAX_HOLD_S)
            self.lease_until = max(self.lease_until, until)

    def check_lease(self) -> None:
        if self.running and time.monotonic() > self.lease_until:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    async def _serve(self, method, target, headers, body):
        if headers.get("carobflow-expected-instance", self.id) != self.id:
            return 421, {}
        body = json.loads(body) if body else {}
        self.check_lease()
        if target == "/carobflow/hold":
            return await self._hold(body)
        if target == "/carobflow/run-start":
            if self.start_hook is not None and self.start_hook(self, body):
                return None
            return self.execute_start(body)
        if target == "/carobflow/run-stop":
            return self._stop(body)
        if target == "/carobflow/pace":
            return self._answer() if self._accepts(body) else self._refusal("fence")
        return 404, {}

    def _answer(self, **fields):
        return 200, {"clock-ms": self.clock(), "born": self.born} | fields

    def _refusal(self, reason):
        return 409, {"clock-ms": self.clock(), "born": self.born, "reason": reason}

    def _accepts(self, body) -> bool:
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return False
        self.fence = token
        return True

    def execute_start(self, body):
        """Carries out a start call, whenever it arrives."""
        if not self._accepts(body):
            return self._refusal("fence")
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current.run == number:
            self._extend(body)
            return self._answer()
        if number <= self.highest.get(task, 0) or current is not None:
            self._extend(body)
            return self._refusal("old")
        if body["deadline-ms"] < self.clock():
            return self._refusal("late")
        self._extend(body)
        run = Run(task, number, self.id, self.life, self.system.record.now())
        run.spec = body["task-spec"]
        self.running[task] = run
        self.runs.append(run)
        self.system.record.add(f"worker {self.id} life {self.life} starts {task} run {number}")
        kind, _, value = body["task-spec"].partition("=")
        loop = asyncio.get_running_loop()
        if kind == "ms":
            run.timer = loop.call_later(int(value) / 1000, self.end, run, "done")
        elif kind == "deadly":
            run.timer = loop.call_later(int(value) / 1000, self.system.on_deadly, self, run)
        elif kind == "lasts":
            run.percent = 100
            run.timer = loop.call_later(1.0, self._save, run, int(value))
        elif kind == "gang":
            self.system.on_gang(self, run, body)
        return self._answer()

    def _stop(self, body):
        if not self._accepts(body):
            return self._refusal("fence")
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number:
            asyncio.get_running_loop().call_later(STOP_GRACE_S / 2, self.end, run, "stopped")
        return self._answer()

    async def _hold(self, body):
        if not self._accepts(body):
            return self._refusal("fence")
        self._extend(body)
        seen = body.get("last-seen", 0)
        for run in self.finished:
            if run.number <= seen and run.noted is None:
                run.noted = self.system.record.now()
                self.system.record.add(f"worker {self.id} life {self.life}: end of {run.task} run {run.run} taken note of")
        self.finished = [run for run in self.finished if run.number > seen]
        if not self.finished and body.get("wait-ms", 0) > 0:
            try:
                await asyncio.wait_for(self._ended.wait(), min(2000, body["wait-ms"]) / 1000)
            except TimeoutError:
                pass
        self.check_lease()
        running = [[run.task, run.run, run.saved, self._percent(run), 100] for run in self.running.values()]
        finished = [[run.number, run.task, run.run, run.how, run.saved] for run in self.finished[:500]]
        return self._answer(running=running, finished=finished)

    def _save(self, run, size) -> None:
        """Produces a new checkpoint of a lasting task each second, of this many characters."""
        if self.running.get(run.task) is run:
            run.saved = f"{int(self.clock()):016x}" + "0" * (size - 16)
            run.timer = asyncio.get_running_loop().call_later(1.0, self._save, run, size)

    def _percent(self, run) -> int:
        if run.percent is not None:
            return run.percent
        # Rough progress: what matters here is that it changes while the task works.
        return min(99, int((self.system.record.now() - run.began) * 10))


def render(template: str, fields: dict) -> str:
    """Fills in the plain placeholders of a template, as DEPLOY.md tells them."""

    def value(match):
        current = fields
        for part in match.group(1).split("."):
            current = current[int(part)] if isinstance(current, list) else current.get(part, "")
        return str(current)

    return re.sub(r"\{\{([^}|]+)\}\}", value, template)


class System:
    """Entries and agents as the deploy file starts them, each on an address of its own, and their stand-ins."""

    def __init__(self, folder, agents=3, entries=1, cpu=32000, spare_routes=()) -> None:
        self.record = Record(Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        if not (ROOT / self._roles["agent"]["run"].split()[0]).exists():
            raise NotRun("the build of the deploy file is missing")
        self.front_port, self.ready_port, self.control_port, self.app_port = 8161, 8167, 8166, 8080
        self.grpc_port, self.metrics_port, self.store_port = 7720, 7721, 8169
        self.net = self._free_net(agents, entries)
        self.directory = Path(tempfile.mkdtemp(prefix="carobflow-review-"))
        self.store_host = f"{self.net}.200"
        self.agent_hosts = [f"{self.net}.{10 + index}" for index in range(agents)]
        self.entry_hosts = [f"{self.net}.{100 + index}" for index in range(entries)]
        self.store = Store()
        self.zones = ["hoan-kiem", "long-bien", "cau-giay"]
        self.workers = [
            Worker(self, host, f"i-{index:04x}", self.zones[index % 3], f"r{index // 3}", cpu)
            for index, host in enumerate(self.agent_hosts)
        ]
        self.processes = {}
        self.starts = {}
        self._leases = None
        self.version = 1
        self.routes = ["desk", *spare_routes]
        self.on_deadly = lambda worker, run: None
        self.on_gang = lambda worker, run, body: None
        self.write_config()

    def _free_net(self, agents, entries) -> str:
        for _ in range(50):
            net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            sockets = []
            try:
                for last in [200, *range(10, 10 + agents), *range(100, 100 + entries)]:
                    for port in (8161, 8166, 8167, 8080, 8169, 7720, 7721):
                        sockets.append(socket.socket())
                        sockets[-1].bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
            finally:
                for each in sockets:
                    each.close()
        raise NotRun("no free addresses")

    def write_config(self) -> None:
        """The operator writes the next configuration with the routes that there are now."""
        routes = [
            {
                "name": f"r-{name}",
                "host": "desk.example",
                "path-prefix": f"/{name}/",
                "service": "desk",
                "target-latency-ms": 250,
                "priority": 0,
                "max-attempts": 3,
                "stretch": 1.5,
            }
            for name in self.routes
        ]
        self.store.operator_write(
            "config", {"version": self.version, "routes": routes, "services": [{"name": "desk"}], "limits": {}}
        )
        self.record.add(f"operator: configuration {self.version} with the routes {self.routes} acknowledged")
        self.version += 3

    def _fields(self, name, host, role, zone):
        return {
            "node-name": name,
            "role": role,
            "ip": host,
            "zone": zone,
            "app": f"{host}:{self.app_port}",
            "listen": {
                "frontend": f"{host}:{self.front_port}",
                "ready": f"{host}:{self.ready_port}",
                "control-plane": f"{host}:{self.control_port}",
            },
            "internal-port-range": [self.grpc_port, self.metrics_port],
            "bounds": {"max-hold-ms": int(MAX_HOLD_S * 1000)},
            "platform": {"address": f"{self.store_host}:{self.store_port}"},
        }

    def start_process(self, name) -> None:
        role, index = name.split("-")
        host = (self.agent_hosts if role == "agent" else self.entry_hosts)[int(index)]
        settings = self.directory / f"{name}.ini"
        template = (ROOT / self._roles[role]["template"]).read_text()
        settings.write_text(render(template, self._fields(name, host, role, self.zones[int(index) % 3])))
        count = self.starts[name] = self.starts.get(name, 0) + 1
        with (self.directory / f"{name}-{count}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                self._roles[role]["run"].split(),
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.directory), "CAROBFLOW_BOOT": str(settings)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"process {name} started ({count})")

    def kill(self, name) -> None:  # by the process id that was started here
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record.add(f"process {name} killed")

    def logs(self, name):
        """The log lines of the newest process of this name."""
        path = self.directory / f"{name}-{self.starts[name]}.log"
        return path.read_text(errors="replace").splitlines()

    def leader(self):
        """The process that leads, by the row that it renews."""
        newest = None
        for name in self.processes:
            if name.startswith("agent"):
                for path in self.directory.glob(f"{name}-*.log"):
                    for match in re.finditer(r'"?leading"?\W.*?epoch\W+(\d+)', path.read_text(errors="replace")):
                        if newest is None or int(match.group(1)) > newest[0]:
                            newest = (int(match.group(1)), name)
        return None if newest is None else newest[1]

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.store.listen(self.store_host, self.store_port)
        for worker in self.workers:
            await worker.start()
        for index in range(len(self.agent_hosts)):
            self.start_process(f"agent-{index}")
        for index in range(len(self.entry_hosts)):
            self.start_process(f"entry-{index}")
        self._leases = asyncio.create_task(self._watch_leases())
        await self.wait_for("every entry is ready", self._is_ready, 20)
        await self.wait_for("a job completes", self._serves, 20)

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if self._leases is not None:
            self._leases.cancel()
        for worker in self.workers:
            worker.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    async def _watch_leases(self):
        while True:
            for worker in self.workers:
                if worker.up:
                    worker.check_lease()
            await asyncio.sleep(0.02)

    async def wait_for(self, what, condition, limit):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise NotRun(f"timed out: {what}")

    async def _is_ready(self):
        for host in self.entry_hosts:
            status, _ = await call(host, self.ready_port, "GET", "/carobflow/readiness", timeout=1)
            if status != 200:
                return False
        return True

    async def _serves(self):
        job = self.new_id()
        status = await self.submit(job, [{"count": 1, "cpu": 100, "memory-limit-mb": 10}], spec="ms=50")
        if status != 200:
            return False
        for _ in range(40):
            if (await self.state(job))[1] == "completed":
                return True
            await asyncio.sleep(0.05)
        return False

    @staticmethod
    def new_id():
        return f"{random.getrandbits(64):016x}"

    async def request(self, method, route, job, body=None, entry=0, timeout=3.5):
        headers = {"Host": "desk.example", "Carobflow-Deadline-Remaining": "3000"}
        return await call(
            self.entry_hosts[entry], self.front_port, method, f"/{route}/{job}", headers, body, timeout=timeout
        )

    async def submit(self, job, steps, spec="ms=200", route="desk", entry=0, quiet=False):
        status, _ = await self.request("POST", route, job, {"task-spec": spec, "steps": steps}, entry)
        if not quiet:
            self.record.add(f"client: POST /{route}/{job} answered {status or 'nothing'}")
        return status

    async def state(self, job, route="desk", entry=0):
        status, body = await self.request("GET", route, job, entry=entry)
        return status, body.get("state") if status == 200 else None

    def runs(self):
        return sorted((run for worker in self.workers for run in worker.runs), key=lambda run: run.began)


def play(case) -> None:
    """Runs a case; its result is 1 when the rule was broken, 0 when it held, 2 when it could not be run."""

    async def run():
        # run.sh ends a case that takes too long; what it started has to end with it.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await case()

    try:
        result = asyncio.run(run())
    except (asyncio.CancelledError, NotRun) as reason:
        print(f"not run: {reason or 'ended before its time'}")
        result = 2
    except Exception as error:  # pylint: disable=broad-except
        traceback.print_exc()
        print(f"not run: {error}")
        result = 2
    sys.exit(result)
