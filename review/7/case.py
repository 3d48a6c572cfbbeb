"""The minions of a service are replaced one after the other, and a job is
shown as failed though none of its runs has failed."""
import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin-2"))
import harness  # noqa: E402

JOB = "4f1c0a7e52d9b306"
MINIONS, REPLACED = 10, 5  # a share of 0.5
DRAIN_S, LONGER_S, GAP_S = 2.0, 1.0, 6.5
WORK_S = 11.0  # full-fit of bofl-sched
MAX_ATTEMPTS = 2
harness.BOUNDS["max_hold_ms"] = 10000  # bofl-sched


async def replace(world, number):
    """The new minion starts first, the old one drains and leaves."""
    platform = world.platform
    old = platform.minions[f"i-{number:04d}"]
    new = harness.Minion(platform, f"i-{100 + number:04d}", old.service,
                         rack=old.rack)
    await new.start()
    world.tasks.append(asyncio.create_task(new.beat_on()))
    old.state = "draining"
    old.remaining_ms = int(DRAIN_S * 1000)
    await old.beat()
    world.record(f"release: {old.name} reports draining, {new.name} is ready")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await platform.store.put("keyed.servers", old.name, None)
    old.leave()


async def case(world):
    platform = world.platform
    for number in range(MINIONS):
        harness.Minion(platform, f"i-{number:04d}", "fitsvc",
                       rack=f"r{number // 5}")
    world.config["services"].append({"name": "fitsvc",
                                     "enforces_capacity": True})
    world.route("fit", "fitsvc", max_attempts=MAX_ATTEMPTS, priority=1)
    await world.start(3)
    if not await world.wait_until_served():
        return 2, "no host has become the planner"
    await asyncio.sleep(2)
    body = {"spec": "full-fit", "phases": [
        {"count": 1, "cpu": 26000, "mem_mb": 60000, "gpu": 8,
         "estimate_ms": 11000}]}
    status, _ = await world.submit(world.hosts[0], "fit", JOB, body, WORK_S)
    if status != 200:
        return 2, "the job was not accepted"
    await asyncio.sleep(1)
    if harness.TROUBLE:
        for number in range(REPLACED):
            await replace(world, number)
            await asyncio.sleep(GAP_S)
    until_s = time.monotonic() + 35
    state = None
    while state not in ("failed", "completed"):
        if time.monotonic() > until_s:
            return 2, f"the job is still {state}"
        await asyncio.sleep(0.5)
        state = await world.state(world.hosts[1], "fit", JOB)
    failed = sum(how == "failed" for _, _, _, _, how in platform.ends)
    text = (f"the job is shown as {state}; runs started "
            f"{len(platform.starts)}, ended as failed {failed}, "
            f"max_attempts {MAX_ATTEMPTS}")
    return (1 if state == "failed" and failed < MAX_ATTEMPTS else 0), text


harness.main(case, CASE)
