The workload of a bench day is the same for the same seed, and has the expected
load, job sizes and declared run times.

  $ export PYTHONPATH=$ROOT/tests/bench/bench-day PYTHONDONTWRITEBYTECODE=1
  $ cat > day.py <<'END'
  > import collections
  > import workload
  > for user in workload.USERS:
  >     jobs = workload.make_day(user, 1)
  >     assert jobs == workload.make_day(user, 1)
  >     assert jobs != workload.make_day(user, 2)
  >     sizes = collections.Counter(job.size for job in jobs)
  >     possible = [job for job in jobs
  >                 if job.size not in ("impossible", "wave")]
  >     load = sum(map(workload.work, possible)) / workload.capacity()
  >     large = [job for job in jobs if job.size == "large"]
  >     factors = [job.body["declared_run_ms"] / job.run_ms for job in jobs]
  >     print(user, 0.85 <= load <= 0.95,
  >           0.015 <= sizes["impossible"] / len(jobs) <= 0.025,
  >           sizes["wave"],
  >           min(job.accelerators for job in large) >= 16,
  >           max(job.accelerators for job in large) <= 64,
  >           min(factors) < 0.2, max(factors) > 5,
  >           len({job.body["key"] for job in jobs}) == len(jobs))
  > END
  $ python3 day.py
  addis True True 300 True True True True True
  brazos True True 300 True True True True True

The metrics of given samples and outcomes:

  $ cat > figures.py <<'END'
  > import metrics
  > import workload
  > print(metrics.quantile(range(1, 101), 0.99), metrics.quantile([], 0.5))
  > samples = [
  >     {"at_s": 0, "accelerators": 100, "accelerators_free": 50,
  >      "fragmentation": 0.5, "largest_block": 16, "queued": 0},
  >     {"at_s": 1, "accelerators": 100, "accelerators_free": 0,
  >      "fragmentation": 0.0, "largest_block": 0, "queued": 1},
  >     {"at_s": 4, "accelerators": 100, "accelerators_free": 0,
  >      "fragmentation": 0.0, "largest_block": 0, "queued": 1}]
  > figures = metrics.fragmentation(samples)
  > print(figures["mean"], figures["largest_block_over_free"],
  >       figures["no_large_block"], figures["busy"])
  > class Outcome:
  >     def __init__(self, submitted_ms, ended_ms):
  >         self.record = {"submitted_ms": submitted_ms,
  >                        "changed_ms": ended_ms}
  >         self.state = "finished"
  >         self.job = workload.Job(0, "owner", 1000,
  >                                 {"tasks": 4, "accelerators": 8})
  > owned = [Outcome(0, 100), Outcome(10, 100), Outcome(20, 200),
  >          Outcome(150, 300)]
  > print([metrics.within_guarantee("addis", owned, o) for o in owned])
  > END
  $ python3 figures.py
  99 None
  0.5 0.32 0.75 0.875
  [True, True, False, True]
