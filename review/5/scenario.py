"""One large job with checkpoints is accepted, among ordinary ones."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import system
from standins import Worker

TASKS = 1000
LARGE_MS = 90000
CHECKPOINT_INTERVAL_S = 1.0
CHECKPOINT_CHARACTERS = 64
LASTING = 22
MAY_MISS = 1
TRAFFIC_S = 75
FROM_LAST_RUN_S = 6.0
NOTHING_RUNNING_S = 3.0


async def behave(worker, run):
    """Work of the milliseconds in the spec. A task with the word `saves` has a new checkpoint with each second, and one
    in 25 of its runs fails, at 3 to 30 s after the start."""
    words = run.spec.split()
    if words[0] == "lasts":
        return
    if "saves" not in words:
        await Worker.finish_after_spec(worker, run)
        return
    index = int(run.task.rsplit(".", 1)[1])
    number = int(run.checkpoint.split("/")[1]) if run.checkpoint else 0
    fails_at = 3 + index % 28 if (index * 7 + run.run * 13) % 25 == 0 else None
    began = time.monotonic()
    while number * CHECKPOINT_INTERVAL_S < float(words[0]) / 1000:
        await asyncio.sleep(CHECKPOINT_INTERVAL_S)
        number += 1
        run.saved = f"{run.task}/{number}/".ljust(CHECKPOINT_CHARACTERS, "0")
        if fails_at is not None and time.monotonic() - began > fails_at:
            worker.end(run, "failed")
            return
    worker.end(run, "done")


async def scenario(s):
    await s.start(agents=11, entries=3, behave=behave)
    accepted = []

    async def hand_in(job, step, spec):
        if not await s.submit_until_accepted(job, [step], spec, entry=len(accepted) % 3, attempts=3):
            raise system.CannotRun("a job was not accepted")
        accepted.append(job)

    ordinary = {"count": 6, "cpu": 500, "memory-limit-mb": 64, "estimated-ms": 1000}
    large = {"count": TASKS, "cpu": 120, "memory-limit-mb": 64, "estimated-ms": LARGE_MS, "checkpointing": True}
    lasting = {"count": LASTING, "cpu": 2000, "memory-limit-mb": 512, "estimated-ms": 500, "long-running": True,
               "may-miss": MAY_MISS}
    await hand_in("a" * 16, lasting, "lasts")
    await asyncio.sleep(4)
    if system.TROUBLE:
        await hand_in("b" * 16, large, f"{LARGE_MS} saves")
    else:
        # The same work without a large job.
        for part in range(10):
            await hand_in(f"b{part:015x}", large | {"count": TASKS // 10}, f"{LARGE_MS} saves")
    number = 0
    while s.elapsed() < TRAFFIC_S:
        number += 1
        await hand_in(f"{number:016x}", ordinary, "1000")
        await asyncio.sleep(0.9)

    # RULES.md, AVAIL: "A stop, move or upkeep ends a task of a step with `may-miss` that is at work on a sound worker
    # that isn't draining, while so many others of its step are away: ended by such an order, or not at work for
    # `notice-ms` for any cause. A lease that lapses with no disturbance near counts as such an order."
    events = sorted(e for w in s.workers for e in w.log if e[4].startswith("a" * 16))
    away, broken, lapsed = set(), [], 0
    for at, worker, life, event, task, run, _ in events:
        if event == "started":
            away.discard(task)
        elif event in ("ended-lapsed", "ended-stopped"):
            lapsed += 1
            if len(away) >= MAY_MISS:
                broken.append((at, task, event, len(away)))
            away.add(task)
    other = sum(e[3] == "ended-lapsed" for w in s.workers for e in w.log) - lapsed
    s.record(f"writes that the store refused for a row over row-bytes: {s.store.oversized}")
    s.record(f"lasting tasks whose lease lapsed or that were stopped: {lapsed}; other runs whose lease lapsed: {other}")
    for at, task, event, others in broken[:10]:
        s.record(f"{at - s.began:.3f} {task} {event} while {others} others of its step were away")
    result = []
    if broken:
        result.append(f"AVAIL: {len(broken)} lasting tasks ended by lapsed leases while {MAY_MISS} or more others were away")

    # RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come [...]. The last holds for each task
    # that lasts, from 6 s after its last run [...]; and at any time of the day, however full the service is".
    gaps, ended = {}, {}
    for at, worker, life, event, task, run, _ in events:
        if event.startswith("ended"):
            ended[task] = at
        elif event == "started" and task in ended:
            gaps[task] = max(gaps.get(task, 0.0), at - ended.pop(task))
    for task, at in ended.items():
        gaps[task] = max(gaps.get(task, 0.0), time.monotonic() - at)
    long = [gap for gap in gaps.values() if gap >= FROM_LAST_RUN_S + NOTHING_RUNNING_S]
    s.record(f"longest times for which a lasting task did not run: {sorted(round(gap, 1) for gap in gaps.values())[-5:]} s")
    if long:
        result.append(f"LOST: {len(long)} lasting tasks did not run for {max(long):.1f} s at most")
    return result


system.main(scenario)
