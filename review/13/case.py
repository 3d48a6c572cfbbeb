"""A host refuses a route that it has served already.

One answer of the store to the planner's host is lost: that of its long poll of
the operator's topic.  Then the operator adds a route.  The other hosts read it,
one of them accepts a job by it, and the job starts.  Then the store turns slow
(its answers take 50 times as long), and clients of that host submit more jobs
by the new route.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import small  # noqa: E402

SLOW_S = 50 * 0.004
ROLLBACK_SLACK_S = 0.25


async def scenario(deployment, trouble):
    record, checker = deployment.record, deployment.checker
    planner = deployment.planner()
    host = next(h for h in deployment.hosts if h is not planner)
    lost, slow = [], []

    def hook(name, path, query):
        if (trouble and not lost and name == planner.name
                and path == "/log-read" and query["topic"] == "keyed.op"):
            lost.append(record.now())
            record.write("an answer to", name, path, query, "is lost")
            return "lost"
        return SLOW_S if slow else None

    record.write("planner:", planner.name, "host of the clients:", host.name)
    deployment.store.hook = hook
    if trouble and not await deployment.until(lambda: lost, 3):
        return "the planner's host does not read the operator's topic"
    config = small.configuration(2)
    config["routes"].append(dict(config["routes"][0], name="n",
                                 path_prefix="/n/"))
    deployment.store.put("keyed.op", "config", config)
    record.write("configuration 2 with the route /n/ is acknowledged")
    await asyncio.sleep(0.1)
    first = "00000000000000c0"
    status, _ = await deployment.client("POST", first, small.job(), host,
                                        prefix="/n/")
    if status != 200:
        return "the first job by the new route was not accepted"
    if not await deployment.until(lambda: checker.starts, 3):
        return "the first job by the new route has not started"
    effect_s = record.now()
    record.write("a minion has seen the effect of configuration 2")
    if trouble:
        slow.append(True)
        record.write("the store is slow")
    await asyncio.sleep(2 * ROLLBACK_SLACK_S)
    for i in range(1, 16):
        sent_s = record.now()
        status, _ = await deployment.client(
            "POST", "00000000000000c%x" % i, small.job(), host, prefix="/n/")
        if status in (401, 403, 404) and sent_s > effect_s + ROLLBACK_SLACK_S:
            checker.broken("CONFIG: a request sent %.2f s after a minion saw "
                           "the effect of configuration 2 gets %d from %s" % (
                               sent_s - effect_s, status, host.name))
        await asyncio.sleep(0.1)
    slow.clear()
    await asyncio.sleep(1.0)
    return None


if __name__ == "__main__":
    small.main(FOLDER, scenario)
