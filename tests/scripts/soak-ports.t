Two soaks at once use different ports, of which each can be listened at, also
again after its host was killed.

  $ cat > ports.py <<'END'
  > import os, socket, subprocess, sys
  > sys.path.insert(0, os.environ["ROOT"] + "/tests/soak")
  > import soak
  > soak.LISTEN_PORTS = (19000, 19040)  # no other soak uses these
  > ports = [soak.reserve_port() for _ in range(15)]
  > for port in ports + ports:
  >     with socket.socket() as listener:
  >         listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
  >         listener.bind(("127.0.0.1", port))
  >         listener.listen()
  > print(*ports, sep="\n", flush=True)
  > if len(sys.argv) == 1:
  >     subprocess.run([sys.executable, "ports.py", "second"], check=True)
  > END
  $ python3 ports.py | sort -u | wc -l
  30
