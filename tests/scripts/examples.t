The library's examples, as built here.

  $ "$BUILD/bin/embed-placement"
  frames submits two gangs, one within its guarantee:
  start frames-1 on w1:ff w2:ff
  start frames-2 on w3:ff w4:ff
  optical asks for what it is guaranteed:
  evict frames-2 within 5000 ms, for optical-1
  the borrower has stopped:
  start optical-1 on w3:ff w4:ff
  $ "$BUILD/bin/embed-fold"
  e1: term 1 is held by e2
  e1: record 0 is valid
  e2: term 1 is held by e2
  e2: record 0 is valid
  e1: record 1 is stale_term
  e2: record 1 is stale_term
  equal states: yes

Installed below another prefix, and built from there with the flags of pkg-config
alone:

  $ env -u MAKEFLAGS -u MFLAGS make -s -C "$ROOT" install BUILD="$BUILD" DESTDIR= PREFIX="$PWD/installed" > /dev/null
  $ export PKG_CONFIG_PATH="$PWD/installed/lib/pkgconfig"
  $ gcc $SAN_FLAGS "$ROOT/examples/embed-fold/main.c" -o fold $(pkg-config --cflags --libs foxtailgap)
  $ ./fold | tail -n 1
  equal states: yes
  $ installed/bin/foxtailgapctl --version | cut -d' ' -f1
  foxtailgapctl
  $ ls installed/share/man/man1 installed/share/man/man8
  installed/share/man/man1:
  foxtailgapctl.1
  
  installed/share/man/man8:
  foxtailgapd.8
