"""Many small tasks end on one minion while the store is down."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import hosts as hosts_module  # noqa: E402
import standin  # noqa: E402

HOSTS = 3
TASKS = 900           # one job: 900 tasks of a twentieth of a core
WORK_S = 1.5
DOWN_S = 4.2          # as in the days of the site
ROOM = {"cpu": 64000, "mem_mb": 131072, "gpu": 8}
NEED = {"cpu": 50, "mem_mb": 50}
CYCLES_MAX = 4        # a cycle in which another host took over shows nothing


def work(task, spec, run):
    return WORK_S, "done"


async def cycle(number, platform, hosts, record, trouble):
    job = "%016x" % (0xabc0 + number)
    platform.needs[job] = NEED
    status, _ = await hosts[number % HOSTS].call("POST", job, {
        "spec": "small pickups", "phases": [
            dict(NEED, count=TASKS, estimate_ms=int(WORK_S * 1000))]})
    if status != 200:
        raise hosts_module.CannotRun("the job was not accepted")

    def starts():
        return sum(1 for row in platform.checker.started
                   if row[1].startswith(job) and row[3] == 1)

    for _ in range(300):
        if starts() == TASKS:
            break
        await asyncio.sleep(0.01)
    record("%d of %d tasks have started" % (starts(), TASKS))
    if trouble:
        platform.store.down = "busy"
        record("the store is down: 503 to each call, nothing is done")
        await asyncio.sleep(DOWN_S)
        platform.store.down = None
        record("the store is back after %.1f s" % DOWN_S)
    for _ in range(30):
        await asyncio.sleep(0.5)
        if await hosts[number % HOSTS].state(job) == "completed":
            break


async def case(record, folder, trouble):
    platform = standin.Platform(record, HOSTS)
    for name, rack in (("minion-a", "r1"), ("minion-b", "r2")):
        platform.add_minion(name, rack, work, ROOM)
    await platform.open(hosts_module.config())
    hosts = []
    try:
        hosts = await hosts_module.start_hosts(platform, folder, record)
        await asyncio.sleep(2)
        found = []
        for number in range(CYCLES_MAX):
            await cycle(number, platform, hosts, record, trouble)
            found = platform.checker.started_after_noted_end()
            if found or platform.checker.broken:
                break
        for task, run, minion, ended, other, after_s in found:
            platform.checker.break_rule(
                "TWICE: run %d of %s started on %s %.2f s after run %d had "
                "ended done on %s, an end that was taken note of"
                % (run, task, minion, after_s, ended, other))
        return platform.checker.broken
    finally:
        platform.paths.heal_all()
        for host in hosts:
            await host.end()
        platform.close()


if __name__ == "__main__":
    hosts_module.main(case, HERE, standin.Record)
