"""TWICE: a start order that got no answer is carried out by the next life of its worker, after its task is done."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common-2"))
from bed import TROUBLE, Skip, Worker, run_case  # noqa: E402

JOB = "00000000000000a6"
WORK_MS = 1000
LATE_S = 8.0  # The pages: seconds later; the bench: 2 to 12 s.
DOWN_S = 1.5  # A worker that crashes is back after some seconds.


async def case(bed):
    workers = [Worker(bed.record, f"i-{n}", labels=["a", f"r1-{n}"]) for n in range(1, 8)]
    await bed.start(workers)
    held = []

    def hold_up(worker):
        def on_start(body):
            if held or not TROUBLE:
                return False
            held.append((worker, body, asyncio.get_running_loop().time()))
            return True
        return on_start

    for worker in workers:
        worker.on_start = hold_up(worker)
    status, _ = await bed.client(bed.entries[0], "POST", JOB,
                                 [{"count": 1, "cpu": 500, "memory-limit-mb": 256, "estimated-ms": WORK_MS}],
                                 str(WORK_MS))
    if status != 200:
        raise Skip("the job was not accepted")
    task = f"{JOB}.0.0.0"

    def done_at():
        return next((at for worker in workers for at, name, run, how in worker.ends
                     if name == task and how == "done" and (name, run) in worker.noted), None)

    await bed.wait_for(done_at, 15, "the task is done and its end has been taken note of")
    noted = bed.record.now()

    async def is_completed():
        return (await bed.client(bed.entries[1], "GET", JOB))[1] == {"state": "completed"}

    await bed.wait_for(is_completed, 5, "the job is shown as completed")
    if TROUBLE:
        worker, body, at = held[0]
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.restart()
        await asyncio.sleep(max(0.0, at + LATE_S - asyncio.get_running_loop().time()))
        bed.record.note(f"worker {worker.id} life {worker.life} carries out the order of {at - bed.record.began:.3f} s")
        status, answer = worker.run_start(body)
        bed.record.note(f"worker {worker.id}: that order would be answered with {status} {answer}")
    await asyncio.sleep(4)
    again = [start for start in bed.starts(JOB) if start[0] > noted]
    if again:
        return (f"{task} had ended done, which was taken note of by {noted:.3f} s, and was started again at "
                f"{again[0][0]:.3f} s on worker {again[0][3]}")
    return None


run_case(HERE, case)
