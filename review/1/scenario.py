"""Two large jobs of small tasks run; the leading process is killed shortly before their tasks end."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import system

JOBS = ("1" * 16, "2" * 16)
TASKS = 1000
WORK_MS = 6000
END_AFTER_KILL_S = 0.5
DOWN_S = 3.5

finish = asyncio.Event()


async def behave(worker, run):
    """All tasks that run end `done` at about one moment, after roughly the estimated time."""
    await finish.wait()
    await asyncio.sleep(0.05)
    worker.end(run, "done")


async def scenario(s):
    await s.start(agents=3, entries=2, behave=behave)
    step = {"count": TASKS, "cpu": 20, "memory-limit-mb": 16, "estimated-ms": WORK_MS}
    for index, job in enumerate(JOBS):
        if not await s.submit_until_accepted(job, [step], str(WORK_MS), entry=index):
            raise system.CannotRun("a job was not accepted")
    total = len(JOBS) * TASKS
    await s.wait_until("all tasks run", lambda: sum(len(w.running) for w in s.workers) == total, 20)
    s.record(f"all {total} tasks run: {[len(w.running) for w in s.workers]}")
    await asyncio.sleep(1)
    leader = s.leader()
    if leader is None:
        raise system.CannotRun("no leader found")
    if system.TROUBLE:
        await leader.kill()
    await asyncio.sleep(END_AFTER_KILL_S)
    finish.set()
    await asyncio.sleep(DOWN_S - END_AFTER_KILL_S)
    if system.TROUBLE:
        await leader.start()
    states = []
    for _ in range(60):
        await asyncio.sleep(0.5)
        states = [await s.state(job, quiet=True) for job in JOBS]
        if states == ["completed"] * len(JOBS):
            break
    await asyncio.sleep(3)
    s.record(f"states: {states}")

    # RULES.md, TWICE: "a start after a run has ended `done`, if that end is taken note of then or later". An end is
    # taken note of when `last-seen` reaches it, which is when the worker no longer lists it.
    done = {}
    for w in s.workers:
        listed = {(end[1], end[2]) for end in w.ends}
        for at, worker, life, event, task, run, _ in w.log:
            if event == "ended-done" and (task, run) not in listed:
                done.setdefault(task, (at, worker, run))
    again = [
        (task, done[task], (at, worker, run))
        for at, worker, life, task, run, _ in system.starts(s.workers)
        if task in done and at > done[task][0]
    ]
    for task, end, start in again[:10]:
        s.record(f"{task}: run {end[2]} ended done on worker {end[1]}, run {start[2]} started on worker {start[1]} "
                 f"{start[0] - end[0]:.3f} s later")
    lapsed = sum(event[3] == "ended-lapsed" for w in s.workers for event in w.log)
    s.record(f"tasks started after they had ended done: {len(again)} of {total}; runs whose lease lapsed: {lapsed}")
    return [f"TWICE: {len(again)} tasks were started again after they had ended done"] if again else []


system.main(scenario)
