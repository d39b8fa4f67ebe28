"""A task crashes each worker that starts it, a second and a half after its start."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "common"))
import system
from standins import Worker

DEADLY = "d" * 16
CRASH_AFTER_S = 1.5
DOWN_S = 2.0


async def behave(worker, run):
    """As usual, but the deadly task takes its worker down; the worker is back after some seconds."""
    if not run.task.startswith(DEADLY) or not system.TROUBLE:
        await Worker.finish_after_spec(worker, run)
        return
    await asyncio.sleep(CRASH_AFTER_S)
    worker.record(f"worker {worker.index} crashes under {run.task} run {run.run}")
    # In a task of its own: the crash ends all that this life of the worker was doing.
    asyncio.get_running_loop().create_task(crash_and_return(worker))


async def crash_and_return(worker):
    await worker.crash()
    await asyncio.sleep(DOWN_S)
    await worker.start()


async def scenario(s):
    await s.start(agents=6, entries=2, behave=behave)
    step = {"count": 1, "cpu": 500, "memory-limit-mb": 256, "estimated-ms": 3000}
    if not await s.submit_until_accepted(DEADLY, [step], "3000"):
        raise system.CannotRun("the job was not accepted")
    ordinary = []
    for number in range(30):
        if s.elapsed() > 90:
            break
        job = f"{number:016x}"
        ordinary.append(job)
        await s.submit_until_accepted(job, [step | {"count": 6, "estimated-ms": 4000}], "4000", entry=number % 2)
        await asyncio.sleep(2)
    await asyncio.sleep(2)
    state = await s.state(DEADLY)
    for job in ordinary:
        s.record(f"ordinary job {job}: {await s.state(job, quiet=True)}")

    events = sorted(event for worker in s.workers for event in worker.log if event[4].startswith(DEADLY))
    crashes = [event for event in events if event[3] == "crashed-under"]
    starts = [event for event in events if event[3] == "started"]
    later = [event for event in starts if len(crashes) >= 3 and event[0] > crashes[2][0]]
    s.record(f"deadly job: {state}, {len(starts)} starts, {len(crashes)} workers crashed under it, "
             f"{len(later)} starts after the third crash")
    lost = [e for w in s.workers for e in w.log if e[3] == "crashed-under" and not e[4].startswith(DEADLY)]
    s.record(f"runs of other jobs that were lost with these workers: {len(lost)}")
    # RULES.md: "is started three times more, by machines in touch, after three workers have crashed under it".
    # The agents and the leader ran undisturbed all the while.
    if len(later) >= 3:
        return [f"BUDGET: {len(later)} starts after three workers had crashed under the task"]
    return []


system.main(scenario)
