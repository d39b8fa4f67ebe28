"""TWICE: after a check-in of another writer, a task that is running is started on a second worker."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from bed import HOST, TROUBLE, Skip, Worker, free_port, http, run_case  # noqa: E402

JOB = "00000000000000a6"
WORK_MS = 8000


async def case(bed):
    workers = [Worker(bed.record, f"i-{n}", labels=["a", f"r1-{n}"]) for n in (1, 2, 3)]
    await bed.start(workers)
    step = {"count": 1, "cpu": 500, "memory-limit-mb": 256, "estimated-ms": WORK_MS}
    status, _ = await bed.client(bed.entries[0], "POST", JOB, [step], str(WORK_MS))
    if status != 200:
        raise Skip("the job was not accepted")
    task = f"{JOB}.0.0.0"
    worker = await bed.wait_for(lambda: next((worker for worker in workers if task in worker.running), None), 10,
                                "the task runs")
    await asyncio.sleep(1)
    if TROUBLE:
        # Well-formed, but of a service that the configuration doesn't name.
        check_in = {"service": "print-server", "address": f"{HOST}:{free_port()}", "zone": "z1", "version": "v7",
                    "slots": 4, "state": "ready", "cold-remaining-ms": 0,
                    "capacity": {"cpu": 8000, "memory-limit-mb": 16000, "gpus": 0}, "labels": ["x", "r9-9"],
                    "clock-ms": 100, "sequence": 1, "born": int(time.time() * 1000)}
        bed.record.note(f"another writer sends a check-in to the agent of {worker.id}: {check_in}")
        status, _ = await http(worker.agent_port, "POST", "/carobflow/workers/p-77/heartbeat", check_in)
        bed.record.note(f"the other writer has {status}")
    overlap = None
    until = bed.record.now() + 25
    while bed.record.now() < until and overlap is None:
        running = [(other.id, other.running[task]["run"]) for other in workers if task in other.running]
        if len(running) > 1:
            overlap = bed.record.now(), running
        if not running and any(end[3] == "done" for other in workers for end in other.ends if end[1] == task):
            break
        await asyncio.sleep(0.01)
    if overlap is None:
        return None
    await asyncio.sleep(10)
    await bed.client(bed.entries[1], "GET", JOB)
    bed.record.note(f"{worker.id} has sent {worker.sequence} check-ins; it is ready, and runs {sorted(worker.running)}")
    return (f"at {overlap[0]:.3f} s {task} runs at the same time on {overlap[1][0][0]} (run {overlap[1][0][1]}) and on "
            f"{overlap[1][1][0]} (run {overlap[1][1][1]}), and all workers are up")


run_case(HERE, case)
