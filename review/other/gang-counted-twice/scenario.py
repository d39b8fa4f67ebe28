"""A worker fails all that it starts, and two members of a gang are on it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "common"))
import system
from standins import Gangs

GANG = "a" * 16
MEMBERS = 22
MAX_ATTEMPTS = 2
GREY_S = 6.5
FAILS_AFTER_S = 0.3

gangs = Gangs(MEMBERS)
grey = {"until": 0.0, "worker": None}


async def behave(worker, run):
    if system.TROUBLE and worker.index == grey["worker"] and asyncio.get_running_loop().time() < grey["until"]:
        gangs.runs.setdefault(gangs.key(run), {})[run.task] = (worker, run)
        await asyncio.sleep(FAILS_AFTER_S)
        # What this worker has fails at one moment, by the worker's fault.
        for other in list(worker.running.values()):
            worker.end(other, "failed")
        return
    await gangs.behave(worker, run)


async def scenario(s):
    # Eleven workers, as the site has; one of them is grey.
    await s.start(agents=11, entries=3, behave=behave, on_end=gangs.on_end)
    s.configure(**{"max-attempts": MAX_ATTEMPTS, "priority": 2})
    await asyncio.sleep(3)
    if system.TROUBLE:
        grey.update(worker=5, until=asyncio.get_running_loop().time() + GREY_S)
        s.record("worker 5 fails all that it starts from now on, for 6.5 s")
    step = {"count": MEMBERS, "cpu": 6000, "memory-limit-mb": 256, "estimated-ms": 2000, "gang-scheduled": True}
    if not await s.submit_until_accepted(GANG, [step], "2000"):
        raise system.CannotRun("the job was not accepted")
    state = ""
    for _ in range(60):
        await asyncio.sleep(0.5)
        state = await s.state(GANG, quiet=True)
        if state in ("failed", "completed"):
            break
    s.record(f"the job is shown as {state}")
    failed = [e for w in s.workers for e in w.log if e[3] == "ended-failed"]
    runs = sorted({event[5] for event in failed})
    s.record(f"runs of the gang in which a member ended failed: {runs}; members that ended failed: {len(failed)}")
    if state == "failed" and len(runs) < MAX_ATTEMPTS:
        return [f"LOST: shown as failed after {len(runs)} run of the gang had failed; max-attempts is {MAX_ATTEMPTS}"]
    if state not in ("failed", "completed"):
        raise system.CannotRun(f"the job was neither done nor failed: {state}")
    return []


system.main(scenario)
