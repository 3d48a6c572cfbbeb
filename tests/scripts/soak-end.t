A soak ends although reads of the store's topics wait, time out or get a record
at that moment.

  $ cat > ends.py <<'END'
  > import asyncio, os, random, sys
  > sys.path.insert(0, os.environ["ROOT"] + "/tests/soak")
  > import platform_standin as standin
  > READ = b"GET /log-read?topic=t&from=1&wait_ms=%d&max_kb=100 HTTP/1.1\r\n\r\n"
  > async def run(rng):
  >     store = standin.Store()
  >     await store.put("t", "k", b"x")
  >     address = await standin.serve(standin.store_handler(store))
  >     for _ in range(7):
  >         _, writer = await asyncio.open_connection(*address.split(":"))
  >         writer.write(READ % rng.choice([5, 20, 2000]))
  >     await asyncio.sleep(rng.choice([0.002, 0.005, 0.02]))
  >     if rng.random() < 0.8:
  >         await store.put("t", "k", b"x")
  >     for _ in range(rng.randrange(8)):
  >         await asyncio.sleep(0)
  > rng = random.Random(1)
  > for _ in range(200):
  >     asyncio.run(run(rng))
  > print("ended")
  > END
  $ timeout 60 python3 ends.py 2> "${LOGS:-.}/$TESTFILE.err"
  ended
