"""LOST: a task of a worker that has left isn't started again while the renewals change hands."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standin import FINISH_S, TROUBLE, config, queue, run, tenant  # noqa: E402

SERVICE = "svc-1"
PREFIX = "/q1/"
WORKERS = [(f"w{number:03}", SERVICE, "a", f"r{number // 8}") for number in range(95)]
JOB = "00000000000000a1"
# The workers leave so long after they began to drain: the one with the task, and the others.
BUSY_LEAVES_S = 9.2
OTHERS_LEAVE_S = 6.2
# A share of 0.063.
LEAVING = 6


async def case(deployment):
    record = deployment.record
    # The smaller machines of the grown sites.
    deployment.limits = {"cpuShare": 0.12, "linkMbps": 10.0}
    await deployment.begin(config([queue("q1", PREFIX, SERVICE, stretch=4.0)],
                                  [tenant("t1", "key-1", cpu=64_000)], SERVICE), WORKERS)
    await asyncio.sleep(8)
    step = {"count": 1, "cpu": 1000, "memMb": 512, "estMs": 45_000}
    if not await deployment.submit(PREFIX, JOB, {"spec": "45000", "phases": [step]}):
        return 2
    for _ in range(100):
        if deployment.runs(JOB):
            break
        await asyncio.sleep(0.1)
    else:
        record.say("the job isn't started in a calm deployment")
        return 2
    busy = deployment.runs(JOB)[0][1]
    if TROUBLE:
        others = [worker for worker in deployment.workers if worker is not busy]
        asyncio.ensure_future(busy.leave(BUSY_LEAVES_S))
        for worker in others[-(LEAVING - 1):]:
            asyncio.ensure_future(worker.leave(OTHERS_LEAVE_S))
    ended = record.now()
    record.add("the traffic ends")
    await asyncio.sleep(FINISH_S)
    status, state = await deployment.ask(PREFIX, JOB)
    # Long enough to see when the job is started again.
    await asyncio.sleep(8)
    status, state = await deployment.ask(PREFIX, JOB)
    busy_times = sorted((one.begun, record.now() if one.end is None else one.end)
                        for one, _ in deployment.runs(JOB))
    idle, since = 0.0, ended + FINISH_S
    for begun, end in busy_times + [(record.now(), record.now())]:
        idle = max(idle, begun - since)
        since = max(since, end)
    broken = status != 200 or (state != "completed" and idle >= 3.0)
    for one, worker in deployment.runs(JOB):
        record.say(f"run {one.run} on {worker.name} from {one.begun:.3f} s to "
                   f"{record.now() if one.end is None else one.end:.3f} s: {one.how}")
    record.say(f"shown as {state}; later than {FINISH_S} s after the end of the traffic nothing of the "
               f"job ran for {idle:.3f} s")
    record.say("the rule LOST was broken" if broken else "the rule held")
    return 1 if broken else 0


run(case, FOLDER)
