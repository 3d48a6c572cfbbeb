A host that does not end on SIGTERM is a violation, and the soak ends.

  $ cat > stays.py <<'END'
  > import asyncio, os, signal, sys
  > sys.path.insert(0, os.environ["ROOT"] + "/tests/soak")
  > import soak
  > soak.STOP_MAX_S = 0.5
  > STAYS = "import signal; signal.signal(15, signal.SIG_IGN); signal.alarm(20); print(flush=True); signal.pause()"
  > async def run():
  >     violations = []
  >     host = soak.Host(".", "h", "127.0.0.1:1", False, 1000, violations)
  >     host.process = await asyncio.create_subprocess_exec(
  >         sys.executable, "-c", STAYS,
  >         stdout=asyncio.subprocess.PIPE)
  >     await host.process.stdout.readline()
  >     await host.stop(signal.SIGTERM)
  >     print(*violations)
  > asyncio.run(run())
  > END
  $ timeout 30 python3 stays.py
  h has not ended 0.5 s after signal 15
