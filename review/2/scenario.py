"""Tasks that last end by themselves, some with `done` and some with `failed`."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import system

JOB = "a" * 16
TASKS = 6
ENDS_AFTER_S = 6.0
FROM_LAST_RUN_S = 6.0
NOTHING_RUNNING_S = 3.0

ended_before = set()


async def behave(worker, run):
    """A lasting task works until it is stopped; in its first run it ends by itself, an even one `done`, an odd one
    `failed`. PROTOCOL.md: they "must be restarted however they end"."""
    if not system.TROUBLE or run.task in ended_before:
        return
    ended_before.add(run.task)
    index = int(run.task.rsplit(".", 1)[1])
    await asyncio.sleep(ENDS_AFTER_S)
    worker.end(run, "done" if index % 2 == 0 else "failed")


async def scenario(s):
    await s.start(agents=5, entries=2, behave=behave)
    step = {"count": TASKS, "cpu": 4000, "memory-limit-mb": 512, "estimated-ms": 500, "long-running": True}
    if not await s.submit_until_accepted(JOB, [step], "reminders"):
        raise system.CannotRun("the job was not accepted")
    await asyncio.sleep(30)
    state = await s.state(JOB)

    # RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come, there is capacity for it twice
    # over, and under half of the service's capacity is in use. The last holds for each task that lasts, from 6 s after
    # its last run, whether others of its job run or not; and at any time of the day".
    broken = []
    now = time.monotonic()
    for index in range(TASKS):
        task = f"{JOB}.0.0.{index}"
        events = sorted(e for w in s.workers for e in w.log if e[4] == task)
        s.record(f"{task}: {[event[3] for event in events]}")
        last = events[-1]
        if last[3] != "started" and now - last[0] >= FROM_LAST_RUN_S + NOTHING_RUNNING_S:
            broken.append(f"LOST: {task} {last[3]} {now - last[0]:.1f} s ago and was not started again; job {state}")
    return broken


system.main(scenario)
