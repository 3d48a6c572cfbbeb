"""The planner's host is frozen and loses its term; later it holds the term
again, and a minion that ran a task has crashed for good."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import hosts as hosts_module  # noqa: E402
import standin  # noqa: E402

HOSTS = 2
MINIONS = 8
FREEZE_S = 4.0        # node_freeze, for_s = 4.0
WORK_S = 25.0
WATCH_S = 45.0
JOB = "%016x" % 0xca5e1
ROOM = {"cpu": 64000, "mem_mb": 131072, "gpu": 8}
NEED = {"cpu": 8000, "mem_mb": 16000, "gpu": 1}


def work(task, spec, run):
    return WORK_S if run == 1 else 3.0, "done"


async def freeze(host, record):
    record("host %d is frozen" % host.number)
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    host.signal(signal.SIGCONT)
    record("host %d wakes" % host.number)
    await asyncio.sleep(1)


async def case(record, folder, trouble):
    platform = standin.Platform(record, HOSTS)
    for number in range(MINIONS):
        platform.add_minion("minion-%d" % number, "r1", work, ROOM)
    platform.needs[JOB] = NEED
    await platform.open(hosts_module.config())
    hosts = []
    try:
        hosts = await hosts_module.start_hosts(platform, folder, record)
        await asyncio.sleep(3)
        first = hosts_module.planner_of(hosts)
        status, _ = await first.call("POST", JOB, {
            "spec": "account settle", "phases": [
                dict(NEED, count=1, estimate_ms=int(WORK_S * 1000))]})
        if status != 200:
            raise hosts_module.CannotRun("the job was not accepted")
        await asyncio.sleep(2)
        running = [minion for minion in platform.minions if minion.runs]
        if len(running) != 1:
            raise hosts_module.CannotRun("the task does not run")
        if trouble:
            await freeze(first, record)
            second = hosts_module.planner_of(hosts)
            record("host %d is the planner" % second.number)
            if second is first:
                raise hosts_module.CannotRun("no other host took over")
            running[0].crash()
            await freeze(second, record)
            record("host %d is the planner"
                   % hosts_module.planner_of(hosts).number)
        idle_since = None
        longest_s = 0.0
        state = None
        end_s = standin.now_s() + WATCH_S
        asked_s = 0.0
        while standin.now_s() < end_s and state != "completed":
            now = standin.now_s()
            if any(minion.up and minion.runs for minion in platform.minions):
                idle_since = None
            else:
                idle_since = idle_since or now
                longest_s = max(longest_s, now - idle_since)
            if now - asked_s > 5:
                state = await first.state(JOB)
                asked_s = now
            await asyncio.sleep(0.1)
        record("the job is shown as %s; nothing of it ran for %.1f s at "
               "most, up to the end: %s; %d minions were up and idle"
               % (state, longest_s, "yes" if idle_since else "no",
                  sum(1 for minion in platform.minions
                      if minion.up and not minion.runs)))
        # The minion's lease is over 6 s after the crash; finish_s is 14.
        if state != "completed" and idle_since and longest_s > 20:
            platform.checker.break_rule(
                "LOST: %s is accepted, shown as %s and nothing of it has run "
                "for the last %.0f s, with %d minions up and idle"
                % (JOB, state, longest_s, MINIONS - 1))
        return platform.checker.broken
    finally:
        platform.paths.heal_all()
        for host in hosts:
            await host.end()
        platform.close()


if __name__ == "__main__":
    hosts_module.main(case, HERE, standin.Record)
