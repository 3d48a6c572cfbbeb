"""A version of the configuration removes a route and adds another one for the
same host and path; an accepted job's next step never starts."""
import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin-2"))
import harness  # noqa: E402

JOB = "19d2c6f0b87a4e35"
MINIONS = 8
FINISH_S, NOTHING_RUNS_S, SLACK_S = 14.0, 3.0, 3.0


async def case(world):
    platform = world.platform
    for number in range(MINIONS):
        harness.Minion(platform, f"i-{number:04d}", "rounds-desk",
                       rack=f"r{number // 4}")
    world.config["services"].append({"name": "rounds-desk",
                                     "enforces_capacity": True})
    world.route("settle", "rounds-desk", max_attempts=4, priority=2)
    await world.start(3)
    if not await world.wait_until_served():
        return 2, "no host has become the planner"
    await asyncio.sleep(2)
    step = {"count": 2, "cpu": 11000, "mem_mb": 16000, "gpu": 1,
            "estimate_ms": 4000}
    body = {"spec": "account-settle",
            "phases": [step, dict(step, depends_on=[0])]}
    status, _ = await world.submit(world.hosts[0], "settle", JOB, body, 4.0)
    if status != 200:
        return 2, "the job was not accepted"
    await asyncio.sleep(1)
    if harness.TROUBLE:
        route = world.config["routes"][0]
        world.config["routes"] = [dict(route, name="settle-b")]
        await world.put_config()
    # The first step ends 3 s later; then nothing but the second is to be done.
    await asyncio.sleep(3 + 1)
    if not any(how == "done" for _, _, _, _, how in platform.ends):
        return 2, "the first step has not ended"
    until_s = time.monotonic() + FINISH_S + NOTHING_RUNS_S + SLACK_S
    state = None
    while time.monotonic() < until_s and state not in ("completed", "failed"):
        await asyncio.sleep(1)
        state = await world.state(world.hosts[1], "settle", JOB)
    second = [start for start in platform.starts if start[1].split(".")[2]
              == "1"]
    text = (f"{FINISH_S + NOTHING_RUNS_S + SLACK_S:.0f} s after the first step "
            f"ended, the job is shown as {state}; tasks of the second step "
            f"started: {len(second)}; minions at work: "
            f"{sum(bool(m.runs) for m in platform.minions.values())} of "
            f"{MINIONS}")
    if state == "completed":
        return 0, text
    return (1 if not second else 2), text


harness.main(case, CASE)
