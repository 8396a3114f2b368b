"""LOST: jobs that wait for a kind of worker that is lost hold back all later jobs of their queue."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standin import FINISH_S, TROUBLE, config, queue, run, tenant  # noqa: E402

SERVICE = "svc-1"
PREFIX = "/q1/"
# One of eight workers: a share of 0.125.
WORKERS = [(f"w{number}", SERVICE, "a", f"r{number // 4}") for number in range(7)]
WORKERS.append(("w7", SERVICE, "b", "r1"))
# Jobs that need a worker of kind b, 1 core each; it has room for 32 of them.
WAITING = 20
BATCH = "00000000000000a1"
SERVE = "00000000000000a2"
# A job that fills all workers of kind a for six seconds.
LARGE = "00000000000000a0"


def lasting(requires=None):
    step = {"count": 1, "cpu": 1000, "memMb": 512, "estMs": 60_000, "longRunning": True}
    if requires:
        step["requires"] = requires
    return {"spec": "lasts", "phases": [step]}


def batch(millis):
    return {"spec": str(millis),
            "phases": [{"count": 1, "cpu": 1000, "memMb": 512, "estMs": millis}]}


async def case(deployment):
    record = deployment.record
    await deployment.begin(
        config([queue("q1", PREFIX, SERVICE)], [tenant("t1", "key-1", cpu=600_000)], SERVICE),
        WORKERS)
    first = "0000000000000001"
    if not (await deployment.submit(PREFIX, first, batch(300))
            and await deployment.wait_state(PREFIX, first, "completed", 15)):
        record.say("a job of a calm deployment isn't completed")
        return 2
    if TROUBLE:
        asyncio.ensure_future(deployment.workers[7].lose())
    for number in range(WAITING):
        if not await deployment.submit(PREFIX, f"{0xb0 + number:016x}", lasting("b")):
            return 2
    await asyncio.sleep(3)
    large = {"spec": "6000",
             "phases": [{"count": 14, "cpu": 16_000, "memMb": 1024, "estMs": 6000}]}
    if not await deployment.submit(PREFIX, LARGE, large):
        return 2
    await asyncio.sleep(1)
    for job, value in ((BATCH, batch(10_000)), (SERVE, lasting())):
        if not await deployment.submit(PREFIX, job, value):
            return 2
    record.add("the traffic ends")
    await asyncio.sleep(FINISH_S)
    held = True
    for job in (BATCH, SERVE):
        status, state = await deployment.ask(PREFIX, job)
        held &= status == 200
    await asyncio.sleep(3)
    for job in (BATCH, SERVE):
        status, state = await deployment.ask(PREFIX, job)
        runs = deployment.runs(job)
        if not runs:
            held = False
            record.say(f"job {job} was accepted {record.now() - deployment.accepted[job]:.1f} s "
                       f"ago, is shown as {state}, and nothing of it was started; 7 workers "
                       "with 32 free cores each are ready")
    # Each task that still runs here takes one core.
    used = sum(1000 for worker in deployment.workers for _ in worker.running)
    room = sum(worker.capacity["cpu"] for worker in deployment.workers if worker.alive)
    record.say(f"in use: {used} of {room} thousandths of a core")
    if not held and 2 * used >= room:
        record.say("half of the service is in use, which excuses this")
        return 2
    record.say("the rule held" if held else "the rule LOST was broken")
    return 0 if held else 1


run(case, FOLDER)
