"""The minion of a job's task crashes twice, and the job is shown as failed
though none of its runs has failed."""
import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin-2"))
import harness  # noqa: E402

JOB = "7c30e5b1946fd82a"
MINIONS, CRASHES = 8, 2  # one of eight at a time, a share of 0.125
AFTER_START_S, DOWN_S = 0.3, 2.5
MAX_ATTEMPTS = 3  # route-match of anla-rounds


async def come_back(minion):
    """The same minion starts again, and holds and knows nothing."""
    await asyncio.sleep(DOWN_S)
    await minion.start()


async def case(world):
    platform = world.platform
    for number in range(MINIONS):
        harness.Minion(platform, f"i-{number:04d}", "rounds-desk",
                       rack=f"r{number // 4}")
    world.config["services"].append({"name": "rounds-desk",
                                     "enforces_capacity": True})
    world.route("match", "rounds-desk", max_attempts=MAX_ATTEMPTS, priority=0)
    await world.start(3)
    if not await world.wait_until_served():
        return 2, "no host has become the planner"
    await asyncio.sleep(2)
    body = {"spec": "route-match", "phases": [
        {"count": 1, "cpu": 15000, "mem_mb": 31000, "gpu": 8,
         "estimate_ms": 2500}]}
    status, _ = await world.submit(world.hosts[0], "match", JOB, body, 2.5)
    if status != 200:
        return 2, "the job was not accepted"
    crashes = 0
    state = None
    until_s = time.monotonic() + 60
    while state not in ("failed", "completed"):
        if time.monotonic() > until_s:
            return 2, f"the job is still {state}"
        if harness.TROUBLE and crashes < min(CRASHES, len(platform.starts)):
            minion = platform.minions[platform.starts[crashes][3]]
            await asyncio.sleep(AFTER_START_S)
            minion.crash()
            crashes += 1
            world.tasks.append(asyncio.create_task(come_back(minion)))
        await asyncio.sleep(0.05)
        state = await world.state(world.hosts[1], "match", JOB)
    failed = sum(how == "failed" for _, _, _, _, how in platform.ends)
    text = (f"the job is shown as {state}; crashes {crashes}; runs started "
            f"{len(platform.starts)}, ended as failed {failed}, max_attempts "
            f"{MAX_ATTEMPTS}")
    return (1 if state == "failed" and failed < MAX_ATTEMPTS else 0), text


harness.main(case, CASE)
