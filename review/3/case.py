"""A cut leaves the planner's host and one minion on one side, and the store,
the other hosts and the other minions on the other."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import hosts as hosts_module  # noqa: E402
import standin  # noqa: E402

HOSTS = 3
MINIONS = 6
CUT_S = float(os.environ.get("CUT_S", "5.0"))
HOLD_MS = int(os.environ.get("HOLD_MS", "3000"))   # max_hold_ms
WORK_S = 20.0
JOB = "%016x" % 0xca5e2
ROOM = {"cpu": 64000, "mem_mb": 131072, "gpu": 8}
NEED = {"cpu": 8000, "mem_mb": 16000, "gpu": 1}


def work(task, spec, run):
    return WORK_S, "done"


def cut(platform, planner, minion):
    """All paths between the two sides.  The minion's entry in the store is
    not written any more either."""
    paths = [(planner.number, "store")]
    for other in platform.minions:
        if other is not minion:
            paths.append((planner.number, other.name))
    for host in range(HOSTS):
        if host != planner.number:
            paths.append((host, minion.name))
    platform.paths.cut_paths(paths)
    platform.cut_off.add(minion.name)


async def case(record, folder, trouble):
    platform = standin.Platform(record, HOSTS)
    for number in range(MINIONS):
        platform.add_minion("minion-%d" % number, "r%d" % (number // 3), work,
                            ROOM, max_hold_ms=HOLD_MS)
    platform.needs[JOB] = NEED
    await platform.open(hosts_module.config())
    hosts = []
    try:
        hosts = await hosts_module.start_hosts(platform, folder, record,
                                               HOLD_MS)
        await asyncio.sleep(3)
        planner = hosts_module.planner_of(hosts)
        other = hosts[(planner.number + 1) % HOSTS]
        status, _ = await other.call("POST", JOB, {
            "spec": "wash plan", "phases": [
                dict(NEED, count=1, estimate_ms=int(WORK_S * 1000))]})
        if status != 200:
            raise hosts_module.CannotRun("the job was not accepted")
        await asyncio.sleep(2)
        running = [minion for minion in platform.minions if minion.runs]
        if len(running) != 1:
            raise hosts_module.CannotRun("the task does not run")
        if trouble:
            record("cut: host %d and %s on one side, the store and all others "
                   "on the other" % (planner.number, running[0].name))
            cut(platform, planner, running[0])
            await asyncio.sleep(CUT_S)
            platform.paths.heal_all()
            platform.cut_off.clear()
            record("the cut is healed after %.1f s" % CUT_S)
        for _ in range(30):
            await asyncio.sleep(1)
            if await other.state(JOB) == "completed":
                break
        return platform.checker.broken
    finally:
        platform.paths.heal_all()
        for host in hosts:
            await host.end()
        platform.close()


if __name__ == "__main__":
    hosts_module.main(case, HERE, standin.Record)
