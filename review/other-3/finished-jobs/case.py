"""Fifteen small jobs a second, without any disruption: how many finished jobs do the leader and the store keep?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common-3"))
from standins import System, play  # noqa: E402

HERE = Path(__file__).resolve().parent
# As many as `dan-duong`, `bao-gia` and `nhac-xuong` together on the grown deployment (15.3 a second).
RATE = 15
RUN_S = 260
# The system keeps a finished job for 150 s and looks every 5 s; the jobs themselves take under a second.
KEPT_S = 150 + 5 + 5


def memory_mb(process) -> float:
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def case() -> int:
    system = System(HERE, agents=4)
    async with system:
        record = system.record
        step = [{"count": 10, "cpu": 100, "memory-limit-mb": 10, "estimated-ms": 100}]
        began = time.monotonic()
        sent = 0
        pending = set()
        rows = 0
        next_line = 0.0
        while time.monotonic() - began < RUN_S:
            task = asyncio.create_task(system.submit(system.new_id(), step, "ms=100", quiet=True))
            pending.add(task)
            task.add_done_callback(pending.discard)
            sent += 1
            await asyncio.sleep(max(0.0, began + sent / RATE - time.monotonic()))
            if time.monotonic() - began >= next_line:
                next_line += 20
                # The feeds have long passed the older changes; the platform keeps 20 s of history.
                system.store.history = system.store.history[-3000:]
                rows = sum(1 for name in system.store.rows if name[0] == "jobs")
                largest = max(memory_mb(process) for process in system.processes.values())
                record.add(f"{sent} jobs submitted, {rows} in the store, largest process {largest:.1f} MB")
        broken = rows > RATE * KEPT_S
        record.add(f"{rows} jobs are kept; {RATE * KEPT_S} are as many as come in {KEPT_S} s")
        record.add(f"result: {'finished jobs pile up' if broken else 'held'}")
        return 1 if broken else 0


play(case)
