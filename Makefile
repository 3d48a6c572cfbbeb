# foxtailgap: build, tests and measurements.  `make help` lists the targets.

BUILD ?= build
JOBS ?= $(shell nproc)
CC = gcc

PKGS = libprotobuf-c libmicrohttpd libcurl argtable2 libcyaml yaml-0.1 \
       glib-2.0 jansson
# The packages are installed by scripts/install-packages, so that nothing
# of pkg-config may be asked for before the target `packages` has run.
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lev -lm

OPT ?= -O2 -D_FORTIFY_SOURCE=2
CPPFLAGS = -Ilib -Iplatform -Itests -I$(BUILD) -D_GNU_SOURCE \
           -DG_LOG_USE_STRUCTURED
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
       -Wmissing-prototypes -Wpointer-arith -Wvla -Wformat=2
HARDEN = -fstack-protector-strong -fPIE -fno-common
CFLAGS = -std=gnu11 -g $(OPT) $(WARN) $(HARDEN) $(SAN)
LDFLAGS = -pie -Wl,-z,relro,-z,now $(SAN)

LIB_SRC := $(wildcard lib/*/*.c platform/*.c)
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libfoxtailgap.a
STANDIN_SRC := $(wildcard tests/standins/common/*.c)
STANDIN_OBJ := $(STANDIN_SRC:%.c=$(BUILD)/%.o)
# What unit tests link besides the library: the daemon's tasks and the
# stand-in of the log, without their main ().
PART_SRC := $(STANDIN_SRC) $(filter-out %/main.c, \
            $(wildcard programs/foxtailgapd/*.c tests/standins/ft-log/*.c))
PARTS := $(BUILD)/libtestparts.a
# The same for the host of the scheduler; a library of its own, since some
# files of the two daemons have the same names.
HOSTD_SRC := $(filter-out %/main.c,$(wildcard programs/foxtailgap-hostd/*.c))
HOSTD_PARTS := $(BUILD)/libhostdparts.a

PROGRAM_DIRS := $(wildcard programs/* tests/standins/ft-* tests/faultproxy \
                tests/history tests/bench/* examples/*)
PROGRAM_DIRS := $(foreach d,$(PROGRAM_DIRS),$(if $(wildcard $(d)/*.c),$(d)))
PROGRAMS := $(foreach d,$(PROGRAM_DIRS),$(BUILD)/bin/$(notdir $(d)))
UNIT_SRC := $(wildcard tests/unit/test_*.c)
UNIT := $(UNIT_SRC:tests/unit/%.c=$(BUILD)/unit/%)

ALL_SRC := $(LIB_SRC) $(STANDIN_SRC) $(UNIT_SRC) \
           $(foreach d,$(PROGRAM_DIRS),$(wildcard $(d)/*.c))
HAND_SRC := $(filter-out %.pb-c.c,$(ALL_SRC))
HAND_FILES := $(HAND_SRC) $(filter-out %.pb-c.h,$(wildcard lib/*.h lib/*/*.h platform/*.h \
              programs/*/*.h tests/*/*.h tests/*/*/*.h))
SHELL_FILES := $(wildcard scripts/* tests/scripts/*.sh tests/chaos/*.sh \
               tests/bench/*/run) tests/run .ci/run
SHELL_FILES := $(filter-out %.txt %.py,$(SHELL_FILES))

.PHONY: all help packages demo demo-brazos check check-built unit scripts \
        lint format generate sanitize chaos bench bench-requests bench-capacity report install clean

all: $(PROGRAMS)

## help: lists the targets
help:
	@grep -E '^## ' Makefile | sed 's/^## /  make /'

$(BUILD)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.pb-c.o: WARN = -Wall
$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

define PROGRAM_RULE
$(BUILD)/bin/$(notdir $(1)): $(patsubst %.c,$(BUILD)/%.o,$(wildcard $(1)/*.c)) \
    $(if $(filter tests/%,$(1)),$(STANDIN_OBJ)) $(LIB)
	@mkdir -p $$(@D)
	$(CC) $(LDFLAGS) $$^ -o $$@ $(PKG_LIBS)
endef
$(foreach d,$(PROGRAM_DIRS),$(eval $(call PROGRAM_RULE,$(d))))

$(PARTS): $(PART_SRC:%.c=$(BUILD)/%.o)
	@rm -f $@
	ar rcs $@ $^

$(HOSTD_PARTS): $(HOSTD_SRC:%.c=$(BUILD)/%.o)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/unit/test_hostd_%: $(BUILD)/tests/unit/test_hostd_%.o \
    $(HOSTD_PARTS) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ -o $@ $(PKG_LIBS) -lcunit

# Their clock is the test's own, so that minutes take no time.
$(BUILD)/unit/test_hostd_clock $(BUILD)/unit/test_hostd_full_link: LDFLAGS += -Wl,--wrap=clk_monotonic_ms

$(BUILD)/unit/%: $(BUILD)/tests/unit/%.o $(PARTS) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ -o $@ $(PKG_LIBS) -lcunit

-include $(LIB_OBJ:.o=.d) $(STANDIN_OBJ:.o=.d) $(UNIT_SRC:%.c=$(BUILD)/%.d)
-include $(foreach d,$(PROGRAM_DIRS),$(patsubst %.c,$(BUILD)/%.d,$(wildcard $(d)/*.c)))

## packages: installs the Debian packages that are missing
packages:
	@scripts/install-packages

## demo: serves requests and runs a gang for the Association, on stand-ins
demo: packages
	@$(MAKE) -s -j$(JOBS) all
	@BUILD=$(BUILD) scripts/demo addis

## demo-brazos: the same for Brazos Optic Fit Labs
demo-brazos: packages
	@$(MAKE) -s -j$(JOBS) all
	@BUILD=$(BUILD) scripts/demo brazos

## check: builds everything and runs all tests
check: packages
	@$(MAKE) -s -j$(JOBS) check-built

check-built: all $(UNIT)
	@BUILD=$(BUILD) JOBS=$(JOBS) SAN_FLAGS="$(SAN)" tests/run

## lint: clang-format, clang-tidy, cppcheck and shellcheck; warnings fail
lint:
	@clang-format --dry-run -Werror $(HAND_FILES)
	@shellcheck -x $(SHELL_FILES)
	@cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	  --enable=warning,portability --suppress=missingIncludeSystem \
	  --suppress=normalCheckLevelMaxBranches -j$(JOBS) \
	  -Ilib -Iplatform -Itests $(HAND_SRC)
	@printf '%s\n' $(HAND_SRC) | xargs -P$(JOBS) -n1 sh -c \
	  'clang-tidy --quiet "$$@" -- $(CPPFLAGS) $(PKG_CFLAGS) -std=gnu11 \
	   2>/dev/null' sh
	@echo "lint: clean"

## bench: the users' day through real processes under three policies
bench: packages
	@$(MAKE) -s -j$(JOBS) all
	@BUILD=$(BUILD) python3 tests/bench/bench-day/bench.py

## format: rewrites the sources by clang-format
format:
	clang-format -i $(HAND_FILES)

## generate: makes lib/proto/*.pb-c.[ch] anew (the results are committed)
generate:
	protoc-c -Ilib --c_out=lib lib/proto/*.proto

## report: turns the bench's journal into a page, build/report/index.html
report:
	@scripts/report.py journal $(BUILD)/report/index.html

## sanitize: all tests with the address and undefined-behaviour sanitizers
sanitize: packages
	@$(MAKE) -s -j$(JOBS) BUILD=build/sanitize OPT=-O1 \
	  SAN="-fsanitize=address,undefined -fno-sanitize-recover=undefined" \
	  check-built

## bench-requests: latency, goodput and refusals of requests under load
bench-requests: packages
	@$(MAKE) -s -j$(JOBS) all
	@BUILD=$(BUILD) scripts/bench-requests

## bench-capacity: slopes of bytes, processor time and memory; docs/CAPACITY.md
bench-capacity: packages
	@$(MAKE) -s -j$(JOBS) all
	@BUILD=$(BUILD) scripts/bench-capacity

## chaos: random faults against seven daemons: SEED=1 DURATION_S=60
chaos: all
	@BUILD=$(BUILD) tests/chaos/chaos.sh

PREFIX ?= /usr/local
DESTDIR ?=
VERSION = $(shell sed -n 's/.*FT_VERSION "\(.*\)"/\1/p' lib/common/version.h)
PUBLIC_HEADERS := $(wildcard lib/*.h lib/*/*.h)
INSTALLED := foxtailgapd foxtailgapctl

## install: programs, library, headers, man pages below DESTDIR and PREFIX
install: all
	@for program in $(INSTALLED); do \
	  install -D -m 755 $(BUILD)/bin/$$program \
	    $(DESTDIR)$(PREFIX)/bin/$$program; done
	@install -D -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib/libfoxtailgap.a
	@for header in $(PUBLIC_HEADERS:lib/%=%); do \
	  install -D -m 644 lib/$$header \
	    $(DESTDIR)$(PREFIX)/include/foxtailgap/$$header; done
	@install -d $(DESTDIR)$(PREFIX)/lib/pkgconfig
	@sed 's|@PREFIX@|$(PREFIX)|; s|@VERSION@|$(VERSION)|' foxtailgap.pc.in \
	  > $(DESTDIR)$(PREFIX)/lib/pkgconfig/foxtailgap.pc
	@install -D -m 644 docs/man/foxtailgapd.8 \
	  $(DESTDIR)$(PREFIX)/share/man/man8/foxtailgapd.8
	@install -D -m 644 docs/man/foxtailgapctl.1 \
	  $(DESTDIR)$(PREFIX)/share/man/man1/foxtailgapctl.1

clean:
	rm -rf build
