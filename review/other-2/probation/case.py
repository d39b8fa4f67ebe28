"""LOST: after one refused start, an upstream gets one task in 2.5 s for as long as only lasting tasks run there."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common-2"))
from bed import TROUBLE, Skip, Worker, run_case  # noqa: E402

FIRST = "00000000000000a1"
JOB = "00000000000000a2"
TASKS = 12
CALM_S = 12.0
LASTS_S = 6.0
IDLE_S = 3.0


async def case(bed):
    workers = [Worker(bed.record, f"i-{n}", labels=["a" if n < 7 else "b", f"r1-{n}"]) for n in range(1, 8)]
    await bed.start(workers)
    worker = workers[-1]
    refused = []
    handle = worker.server.handler

    async def refuse_once(request, writer):
        if TROUBLE and request.path == "/carobflow/run-start" and not refused:
            refused.append(bed.record.now())
            bed.record.note(f"worker {worker.id} is unhealthy for a moment, and answers a start with 503")
            return 503, {}
        return await handle(request, writer)

    worker.server.handler = refuse_once
    step = {"cpu": 1000, "memory-limit-mb": 256, "long-running": True, "constraints": "b"}
    await bed.client(bed.entries[0], "POST", FIRST, [{"count": 1, **step}], "0")
    await bed.wait_for(lambda: bed.starts(FIRST), 20, "the first task runs")
    await asyncio.sleep(CALM_S)
    status, _ = await bed.client(bed.entries[0], "POST", JOB, [{"count": TASKS, **step}], "0")
    if status != 200:
        raise Skip("the job was not accepted")
    accepted = bed.record.now()
    await bed.wait_for(lambda: len(bed.starts(JOB)) == TASKS, 60, "all tasks run")
    late = [start for start in bed.starts(JOB) if start[0] > accepted + LASTS_S + IDLE_S]
    if late:
        return (f"{len(late)} of {TASKS} lasting tasks, accepted at {accepted:.3f} s, had no run for over "
                f"{LASTS_S + IDLE_S} s, with nearly all of the room of the service free and nothing disturbed for "
                f"{accepted - refused[0]:.0f} s before; the last was started at {late[-1][0]:.3f} s")
    return None


run_case(HERE, case)
