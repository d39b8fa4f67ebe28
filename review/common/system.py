"""Starts the system as the deploy file does, on loopback addresses, and ends what it started.

A script gives a scenario(system) that drives it and returns the list of broken rules. The exit code is 1 when a rule
was broken, 0 when it held, and 2 when the case could not run.
"""

import asyncio
import os
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

from standins import Store, Worker, call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("hoan-kiem", "long-bien", "cau-giay")
BOUNDS = {"max-hold-ms": 6000, "grace-s": 6}
HOST = "nony24.example"
PREFIX = "/desk/"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def fill_template(text, fields):
    def value(match):
        current = fields
        for name in match.group(1).split("."):
            current = current[int(name)] if isinstance(current, list) else current[name]
        return str(current)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Node:
    """One process of the system, as the deploy file describes its role."""

    def __init__(self, system, role, name, fields):
        self.system, self.role, self.name, self.fields = system, role, name, fields
        self.process = None
        self.starts = 0

    async def start(self):
        role = self.system.deploy["roles"][self.role]
        path = os.path.join(self.system.directory, self.name + ".settings")
        with open(os.path.join(ROOT, role["template"])) as template, open(path, "w") as settings:
            settings.write(fill_template(template.read(), self.fields))
        self.starts += 1
        self.log = os.path.join(self.system.directory, f"{self.name}-{self.starts}.log")
        command = shlex.split(role["run"])
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, command[0]),
                *command[1:],
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.system.directory, "CAROBFLOW_BOOT": path},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.system.record(f"{self.name}: started")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.is_running():
            self.process.kill()
            await self.process.wait()
            self.system.record(f"{self.name}: killed (SIGKILL)")

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)
        self.system.record(f"{self.name}: frozen (SIGSTOP)")

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)
        self.system.record(f"{self.name}: woken (SIGCONT)")


class System:
    def __init__(self, record_path):
        self.began = time.monotonic()
        self.file = open(record_path, "w")
        self.directory = tempfile.mkdtemp(prefix="carobflow-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            self.deploy = tomllib.load(deploy)
        self.store = Store(self.record)
        self.entries, self.agents, self.workers = [], [], []
        self.config = None
        self.version = 0

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def elapsed(self):
        return time.monotonic() - self.began

    def configure(self, routes=None, **settings):
        """Writes a configuration with one route, or the given ones; the store's acknowledgement is the return."""
        self.version += 1
        route = {
            "name": "r-desk",
            "host": HOST,
            "path-prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout-ms": 3000,
            "target-latency-ms": 1000,
            "priority": 0,
            "service": "desk",
            "max-attempts": 3,
            "stretch": 2.0,
        } | settings
        self.config = {
            "version": self.version,
            "routes": [route] if routes is None else routes,
            "services": [{"name": "desk", "health-path": "/health", "max-connections": 64, "admission-check": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144},
        }
        self.store.operator_put("config", self.config)
        self.record(f"operator: configuration {self.version} acknowledged, routes {[r['path-prefix'] for r in self.config['routes']]}")

    def fields(self, kind, zone, index):
        address = lambda: f"127.0.0.1:{free_port()}"
        return {
            "node-name": f"{kind}-{zone}-{index + 1}",
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {"frontend": address(), "ready": address(), "control-plane": address()},
            "internal-port-range": [free_port(), free_port()],
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
        }

    async def start(self, agents=3, entries=2, start_workers=None, **worker):
        await self.store.start()
        self.configure()
        for index in range(agents):
            await self.add_worker(start=start_workers is None or index < start_workers, **worker)
        for index in range(entries):
            fields = self.fields("frontend", ZONES[index % 3], index // 3)
            self.entries.append(Node(self, "entry", fields["node-name"], fields))
            await self.entries[-1].start()
        await self.wait_until("an entry is ready and agents follow a leader", self.is_ready, 30)

    async def add_worker(self, start=True, **options):
        index = len(self.workers)
        zone = ZONES[index % 3]
        worker = Worker(self.record, index, zone, f"r{index // 3}", **options)
        fields = self.fields("side", zone, index // 3)
        worker.control_port = int(fields["listen"]["control-plane"].split(":")[1])
        self.workers.append(worker)
        worker.port = free_port()
        fields["app"] = f"127.0.0.1:{worker.port}"
        self.agents.append(Node(self, "agent", fields["node-name"], fields))
        if start:
            await worker.start()
            await self.agents[-1].start()
        return worker

    async def is_ready(self):
        for entry in self.entries:
            port = int(entry.fields["listen"]["ready"].split(":")[1])
            if (await call(port, "GET", "/carobflow/readiness"))[0] != 200:
                return False
        return True

    async def wait_until(self, what, condition, limit):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.05)
        raise CannotRun(f"timed out: {what}")

    def leader(self):
        """The agent whose log says last that it leads."""
        found = None
        for agent in self.agents:
            if not agent.is_running():
                continue
            with open(agent.log, errors="replace") as log:
                for line in log:
                    match = re.search(r'leading\b.*?epoch[=:" ]+(\d+)', line)
                    if match and "leading-ended" not in line:
                        epoch = int(match.group(1))
                        if found is None or epoch > found[0]:
                            found = (epoch, agent)
        return found[1] if found else None

    # --- clients ---

    async def client(self, method, path, content=None, entry=0, deadline_ms=3000):
        port = int(self.entries[entry].fields["listen"]["frontend"].split(":")[1])
        headers = {"Host": HOST, "Carobflow-Deadline-Remaining": str(deadline_ms)}
        return await call(port, method, path, content, headers, deadline_ms / 1000 + 1)

    async def submit(self, job, steps, spec, entry=0, prefix=PREFIX, **fields):
        status, _ = await self.client("POST", prefix + job, {"task-spec": spec, "steps": steps, **fields}, entry)
        self.record(f"client: POST {job} to {self.entries[entry].name}: {status}")
        return status

    async def submit_until_accepted(self, job, steps, spec, entry=0, attempts=8, **fields):
        """A client's attempts with one id, at one entry after the other."""
        for attempt in range(attempts):
            if await self.submit(job, steps, spec, (entry + attempt) % len(self.entries), **fields) == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, entry=0, quiet=False, prefix=PREFIX):
        status, content = await self.client("GET", prefix + job, entry=entry)
        state = content.get("state") if status == 200 else str(status)
        if not quiet:
            self.record(f"client: GET {job} at {self.entries[entry].name}: {state}")
        return state

    # --- the end ---

    async def stop(self, keep_logs):
        for node in self.entries + self.agents:
            if node.is_running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if keep_logs:
            self.record(f"logs kept in a folder for {os.path.basename(self.directory)}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        self.file.close()


class CannotRun(Exception):
    pass


def starts(worker_list, task_prefix=""):
    """All starts that workers saw, in order: (time, worker, life, task, run, checkpoint)."""
    found = [
        (at, worker, life, task, run, detail)
        for w in worker_list
        for at, worker, life, event, task, run, detail in w.log
        if event == "started" and task.startswith(task_prefix)
    ]
    return sorted(found)


def overlaps(worker_list):
    """Pairs of runs of one task that ran at the same time, on workers that were up."""
    runs = {}
    for w in worker_list:
        for at, worker, life, event, task, run, _ in w.log:
            if event == "started":
                runs.setdefault(task, []).append([at, None, worker, life, run])
            elif event.startswith("ended") or event == "crashed-under":
                for entry in runs.get(task, []):
                    if entry[1] is None and entry[2:] == [worker, life, run]:
                        entry[1] = at
    found = []
    for task, entries in runs.items():
        entries.sort(key=lambda entry: entry[0])
        for first, second in zip(entries, entries[1:]):
            if first[1] is None or second[0] < first[1]:
                end = first[1] if first[1] is not None else second[0]
                found.append((task, first, second, end - second[0]))
    return found


def say(*words):
    try:
        print(*words, flush=True)
    except OSError:
        pass  # Nobody reads any more; the exit code and the record still count.


def main(scenario, limit=115):
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(os.path.join(ROOT, "target", "bin", "carobflowd")):
        say("the build of the deploy file is missing: run its `build` first")
        sys.exit(2)

    async def run():
        system = System(os.path.join(folder, "record.txt"))
        system.record(f"TROUBLE={int(TROUBLE)}")
        broken, code = [], 2
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit):
                broken = await scenario(system)
            for line in broken:
                system.record(f"BROKEN {line}")
                say("BROKEN", line)
            code = 1 if broken else 0
        except CannotRun as error:
            system.record(f"cannot run: {error}")
            say("cannot run:", error)
        except (TimeoutError, asyncio.CancelledError):
            system.record("cannot run: out of time, or ended from outside")
            say("cannot run: out of time, or ended from outside")
        except Exception:
            system.record("cannot run: " + traceback.format_exc())
            traceback.print_exc()
        finally:
            system.record(f"exit code {code}")
            await system.stop(os.environ.get("KEEP_LOGS") == "1")
            if os.environ.get("KEEP_LOGS") == "1":
                say("logs:", system.directory)
        say({0: "held", 1: "broken", 2: "could not run"}[code])
        return code

    os._exit(asyncio.run(run()))
