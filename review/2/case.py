"""TWICE: tasks that a worker has started since it started again are started elsewhere as well."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standin import TROUBLE, config, doubled, queue, run, tenant  # noqa: E402

SERVICE = "svc-1"
PREFIX = "/q1/"
WORKERS = [(f"w{number}", SERVICE, "a", f"r{number // 4}") for number in range(8)]
# One worker of eight loses its power, for so long, several times in the day.
DARK_S = 0.5
TIMES = 10
GAP_S = 2.5


async def case(deployment):
    record = deployment.record
    await deployment.begin(config([queue("q1", PREFIX, SERVICE, stretch=20.0)],
                                  [tenant("t1", "key-1")], SERVICE), WORKERS)
    jobs = []
    sends = set()
    over = False

    async def send(job):
        value = {"spec": "1500",
                 "phases": [{"count": 4, "cpu": 250, "memMb": 64, "estMs": 1500}]}
        if await deployment.submit(PREFIX, job, value):
            jobs.append(job)

    async def clients():
        number = 0
        while not over:
            number += 1
            task = asyncio.ensure_future(send(f"{0xc00 + number:016x}"))
            sends.add(task)
            task.add_done_callback(sends.discard)
            await asyncio.sleep(0.05)

    client = asyncio.ensure_future(clients())
    await asyncio.sleep(3)
    for _ in range(TIMES):
        if TROUBLE:
            busiest = max(deployment.workers, key=lambda worker: len(worker.running))
            await busiest.lose_power(DARK_S)
        await asyncio.sleep(GAP_S)
    over = True
    await client
    await asyncio.gather(*sends)
    record.add("the traffic ends")
    for job in jobs:
        if not await deployment.wait_state(PREFIX, job, "completed", 40):
            record.say(f"job {job} isn't completed")
            return 2
    pairs = doubled(deployment)
    for how, first, at_first, second, at_second in pairs:
        record.say(f"{first.task}: run {first.run} on {at_first.name} from {first.begun:.3f} s to "
                   f"{first.end:.3f} s ({first.how}), run {second.run} on {at_second.name} from "
                   f"{second.begun:.3f} s: {how}")
    record.say("the rule TWICE was broken" if pairs else "the rule held")
    return 1 if pairs else 0


run(case, FOLDER)
