"""GANG: after a crash of one worker, the members of a gang are started with different checkpoints, for good."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common-2"))
from bed import CONTACT_S, TROUBLE, Skip, Worker, run_case  # noqa: E402

JOB = "00000000000000ea"
MEMBERS = 2
WORK_S = 8.0
CHECKPOINT_S = 1.0
GANG_TIMEOUT_S = 3.0
DOWN_S = 1.5
AFTER_CHECKPOINT_S = 0.06


class GangWorker(Worker):
    """A worker whose tasks are members of one gang. They work from the moment when all of one run are present with the
    same checkpoint, as all must carry the same value."""

    members = {}  # task -> worker, for the members of the newest run that are there
    began = None  # when the members of the newest run began to work together

    def run_start(self, body):
        status, answer = super().run_start(body)
        run = self.running.get(body["task"])
        if status != 200 or run is None or "checkpoint" in run:
            return status, answer
        run.update(ends=None, checkpoint=body.get("checkpoint", ""), there=time.monotonic(), works=None)
        GangWorker.members[body["task"]] = self
        self.record.note(f"worker {self.id}: {body['task']} run {body['run']} is there with the checkpoint "
                         f"'{run['checkpoint']}'")
        others = [worker.running[task] for task, worker in GangWorker.members.items() if task in worker.running]
        if len(others) == MEMBERS and len({(other["run"], other["checkpoint"]) for other in others}) == 1:
            done = int(run["checkpoint"] or "0") * CHECKPOINT_S
            for other in others:
                other.update(works=time.monotonic(), done=done, ends=time.monotonic() + WORK_S - done)
            GangWorker.began = time.monotonic()
            self.record.note(f"the members of run {body['run']} work together, from {done} s on")
        return status, answer

    def saved(self, run):
        """A new value with each checkpoint interval of work; the value of any member is valid for the gang."""
        if run["works"] is None:
            return run["checkpoint"]
        steps = int((run["done"] + time.monotonic() - run["works"]) / CHECKPOINT_S)
        return str(steps) if steps > 0 else run["checkpoint"]

    def end(self, task, how):
        run = self.running[task]
        saved = self.saved(run)
        super().end(task, how)
        self.finished[-1][4] = saved
        self.leave(task, run, "done" if how == "done" else "broken")

    def leave(self, task, run, how):
        GangWorker.members.pop(task, None)
        if run["works"] is None:
            return
        for other, worker in list(GangWorker.members.items()):
            if other in worker.running and worker.running[other]["run"] == run["run"]:
                GangWorker.members.pop(other, None)
                worker.end(other, how)

    async def crash(self):
        for task, run in list(self.running.items()):
            self.leave(task, run, "broken")
        await super().crash()

    async def tick(self):
        life = self.life
        while self.up and self.life == life:
            for task, run in list(self.running.items()):
                if task not in self.running:
                    continue
                if time.monotonic() > self.lease_until:
                    self.end(task, "lapsed")
                elif run["ends"] is not None and time.monotonic() >= run["ends"]:
                    self.end(task, "done")
                elif run["works"] is None and time.monotonic() > run["there"] + GANG_TIMEOUT_S:
                    self.end(task, "alone")
            await asyncio.sleep(0.005)

    async def hold(self, body):
        status, answer = await super().hold(body)
        if status == 200:
            answer["running"] = [[task, run["run"], self.saved(run), 0 if run["works"] is None else
                                  min(100, int(100 * (run["done"] + time.monotonic() - run["works"]) / WORK_S)), 0]
                                 for task, run in self.running.items()]
        return status, answer


async def case(bed):
    workers = [GangWorker(bed.record, f"i-{n}", labels=["a", f"r1-{n}"]) for n in range(1, 8)]
    await bed.start(workers)
    status, _ = await bed.client(bed.entries[0], "POST", JOB,
                                 [{"count": MEMBERS, "cpu": 20000, "memory-limit-mb": 256, "gang-scheduled": True,
                                   "checkpointing": True, "estimated-ms": int(WORK_S * 1000)}], "8000")
    if status != 200:
        raise Skip("the job was not accepted")
    await bed.wait_for(lambda: GangWorker.began, 10, "the gang works")
    calm_from = bed.record.now()
    if TROUBLE:
        await asyncio.sleep(GangWorker.began + 2 * CHECKPOINT_S + AFTER_CHECKPOINT_S - time.monotonic())
        crashed = GangWorker.members[f"{JOB}.0.0.1"]
        await crashed.crash()
        await asyncio.sleep(DOWN_S)
        crashed.id = "i-8"
        await crashed.restart()
        calm_from = bed.record.now()
    state = None
    until = bed.record.now() + 35
    while state != "completed" and bed.record.now() < until:
        await asyncio.sleep(1)
        state = ((await bed.client(bed.entries[1], "GET", JOB))[1] or {}).get("state")
    alone = [end for worker in workers for end in worker.ends if end[3] == "alone" and end[0] > calm_from + CONTACT_S]
    if alone:
        return (f"{len(alone)} runs have ended alone later than {CONTACT_S} s after the crashed worker was back, the "
                f"first at {min(alone)[0]:.3f} s; the job is shown as {state} at {bed.record.now():.3f} s")
    if state != "completed":
        raise Skip(f"the job is {state}")
    return None


run_case(HERE, case)
