"""LOST: after a job that repeats is stored, no instance survives the next change of the leader."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standin import FINISH_S, TROUBLE, CannotRun, config, queue, run, tenant  # noqa: E402

SERVICE = "svc-1"
PREFIX = "/q1/"
WORKERS = [(f"w{number}", SERVICE, "a", f"r{number // 4}") for number in range(6)]
PLAIN = "00000000000000a1"
REPEATING = "00000000000000a2"


async def case(deployment):
    record = deployment.record
    await deployment.begin(config([queue("q1", PREFIX, SERVICE, stretch=4.0)],
                                  [tenant("t1", "key-1")], SERVICE), WORKERS)
    step = {"count": 2, "cpu": 1000, "memMb": 512, "estMs": 8000}
    if not await deployment.submit(PREFIX, PLAIN, {"spec": "8000", "phases": [step]}):
        return 2
    # Two runs of one step with one task, three seconds apart.
    repeating = {"spec": "500", "repeatCount": 2, "firstMs": int(time.time() * 1000) + 2000,
                 "intervalMs": 3000,
                 "phases": [{"count": 1, "cpu": 1000, "memMb": 512, "estMs": 500}]}
    if not await deployment.submit(PREFIX, REPEATING, repeating):
        return 2
    record.add("the traffic ends")
    if TROUBLE:
        leader = deployment.leader()
        if leader is None:
            raise CannotRun("no instance has logged that it leads")
        await leader.kill()
    await asyncio.sleep(FINISH_S)
    held = True
    for job in (PLAIN, REPEATING):
        # A client that gets no answer asks the next instance.
        answers = []
        for _ in deployment.instances:
            answers.append(await deployment.ask(PREFIX, job))
            if answers[-1][0] == 200:
                break
        if answers[-1][0] == 200:
            record.say(f"job {job} is shown as {answers[-1][1]}")
        else:
            held = False
            record.say(f"job {job} was accepted and no instance knows it or answers: {answers}")
    ends = sum(instance.own_ends for instance in deployment.instances)
    record.say(f"processes that ended by themselves: {ends}")
    record.say("the rule held" if held else "the rule LOST was broken")
    return 0 if held else 1


run(case, FOLDER)
