"""UNASKED: a job whose cancelling was acknowledged with 410 is taken by an entry that was frozen, and is run."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from bed import CANCEL_S, TROUBLE, Skip, Worker, run_case  # noqa: E402

JOB = "00000000000000d9"
FROZEN_S = 3.5  # The site file: node_freeze, for_s = 4.0.
PATIENCE_MS = 1500
FIRST_MS = 3000


async def case(bed):
    workers = [Worker(bed.record, f"i-{n}", labels=["a", f"r1-{n}"]) for n in (1, 2, 3)]
    await bed.start(workers)
    frozen, other = bed.entries
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FROZEN_S, lambda: frozen.signal(signal.SIGCONT))
    steps = [{"count": 1, "cpu": 500, "memory-limit-mb": 256, "estimated-ms": FIRST_MS},
             {"count": 1, "cpu": 500, "memory-limit-mb": 256, "estimated-ms": FIRST_MS, "after": [0]}]
    await bed.client(frozen, "POST", JOB, steps, str(FIRST_MS), wait_ms=PATIENCE_MS)
    bed.record.note(f"the client gives up on {JOB}, and cancels it")
    status, _ = await bed.client(other, "DELETE", JOB)
    if status not in (200, 410):
        raise Skip("the cancelling was not acknowledged")
    acknowledged = bed.record.now()
    await asyncio.sleep(10)
    await bed.client(other, "GET", JOB)
    late = [start for start in bed.starts(JOB) if start[0] > acknowledged + CANCEL_S]
    if late:
        return (f"the cancelling of {JOB} was acknowledged at {acknowledged:.3f} s with {status}, and {late[0][1]} was "
                f"started at {late[0][0]:.3f} s on worker {late[0][3]}")
    return None


run_case(HERE, case)
