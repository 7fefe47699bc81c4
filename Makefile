# Builds sapphirepond, its tests and stand-ins. "make help" lists the targets.

PKGS := talloc tevent libprotobuf-c libcurl glib-2.0 jansson libxxhash libcrypto
VARIANT ?= release
BUILD := build/$(VARIANT)

CC ?= gcc
CXX ?= g++
WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror
SAN_release := -O2 -DPOND_INVARIANTS_FATAL
SAN_asan := -O1 -DPOND_INVARIANTS_FATAL -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer
SAN_tsan := -O1 -DPOND_INVARIANTS_FATAL -fsanitize=thread
SAN := $(SAN_$(VARIANT))
CPPFLAGS := -Isrc -I. -Itests -Itests/unit -Itests/standins -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS))
CFLAGS := -std=c11 -g -pthread $(SAN) $(WARN)
CXXFLAGS := -std=c++17 -g -pthread $(SAN) -Wall -Wextra -fno-exceptions
LDFLAGS := -pthread $(SAN)
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm -lstdc++

objects = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB_SRC := $(filter-out src/cli/main.c,$(sort $(wildcard src/*/*.c platform/*.c)))
LIB_OBJ := $(call objects,$(LIB_SRC)) $(patsubst %.cc,$(BUILD)/%.o,$(sort $(wildcard src/*/*.cc)))
FAKE_OBJ := $(call objects,$(sort $(wildcard tests/fakes/*.c)))
UNIT_SRC := $(sort $(wildcard tests/unit/test_*.c))
UNIT_BIN := $(UNIT_SRC:%.c=$(BUILD)/%)
UNIT_OBJ := $(call objects,$(filter-out $(UNIT_SRC),$(sort $(wildcard tests/unit/*.c))))
STANDIN_SRC := $(sort $(wildcard tests/standins/standin_*.c))
STANDIN_BIN := $(STANDIN_SRC:%.c=$(BUILD)/%)
STANDIN_OBJ := $(call objects,$(filter-out $(STANDIN_SRC),$(sort $(wildcard tests/standins/*.c))))
SOAK_OBJ := $(call objects,$(sort $(wildcard tests/soak/*.c)))
PROCSOAK_OBJ := $(call objects,$(sort $(wildcard tests/procsoak/*.c)))
BIN := $(BUILD)/sapphirepond
FORMAT_SRC := $(filter-out %.pb-c.c %.pb-c.h,$(sort $(wildcard src/*/*.[ch] platform/*.[ch] tests/*/*.[ch])))
TIDY_SRC := $(filter %.c,$(FORMAT_SRC))

all: $(BIN) $(UNIT_BIN) $(STANDIN_BIN) $(BUILD)/soak $(BUILD)/procsoak
tests: all

# What the platform runs; needs none of the tests.
release: target/sapphirepond
target/sapphirepond: $(BIN)
	@mkdir -p target
	cp --remove-destination $< $@

$(BIN): $(BUILD)/src/cli/main.o $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# An archive, so that each test program takes only what it uses.
define archive
$$(BUILD)/lib$(1).a: $$($(2)) Makefile
	rm -f $$@
	ar qcs $$@ $$(filter %.o,$$^)
endef
$(eval $(call archive,pond,LIB_OBJ))
$(eval $(call archive,fakes,FAKE_OBJ))
$(eval $(call archive,standins,STANDIN_OBJ))
$(eval $(call archive,unit,UNIT_OBJ))

$(UNIT_BIN): %: %.o $(BUILD)/libunit.a $(BUILD)/libstandins.a $(BUILD)/libfakes.a $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcunit

$(STANDIN_BIN): %: %.o $(BUILD)/libstandins.a $(BUILD)/libfakes.a $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/soak: $(SOAK_OBJ) $(BUILD)/libunit.a $(BUILD)/libfakes.a $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/procsoak: $(PROCSOAK_OBJ) $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/src/proto/%.o: src/proto/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -Wno-error -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

# Only needed after a change of peer.proto; the generated code is committed.
proto:
	cd src/proto && protoc-c --c_out=. peer.proto

format:
	clang-format -i $(FORMAT_SRC)

check-format:
	@clang-format --dry-run --Werror $(FORMAT_SRC)

# One stamp per file, so that only changed files are checked again.
TIDY_STAMPS := $(TIDY_SRC:%.c=build/tidy/%.ok)
build/tidy/%.ok: %.c .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=c11 $(CPPFLAGS) 2>$(@:.ok=.log) || { cat $(@:.ok=.log); exit 1; }
	@$(CC) -std=c11 $(CPPFLAGS) -MM -MP -MT $@ -MF $(@:.ok=.d) $<
	@touch $@
check-lint: $(TIDY_STAMPS)

# The platform's names stand in its folder only.
check-names:
	@scripts/check_names.sh

check:
	@tests/check.sh

SEED ?= 1
RUNS ?= 1000
RUN ?= 0
JOBS ?= $(shell nproc)
soak: $(BUILD)/soak
	@$(BUILD)/soak --seed $(SEED) --runs $(RUNS) --jobs $(JOBS)

# One run again, with the trace of its last events.
soak-one: $(BUILD)/soak
	@$(BUILD)/soak --seed $(SEED) --run $(RUN)

soak-faults: $(BUILD)/soak
	@$(BUILD)/soak --faults --seed $(SEED) --runs $(RUNS) --jobs $(JOBS)

# The store comes back from copies; the last line counts violations.
soak-drills: $(BUILD)/soak
	@$(BUILD)/soak --drills --seed $(SEED) --runs $(RUNS) --jobs $(JOBS)

# Real processes under faults; the last line counts violations.
MINUTES ?= 1
soak-processes: all
	@$(BUILD)/procsoak --bin $(BUILD) --seed $(SEED) --minutes $(MINUTES)

demo:
	@scripts/demo.sh

clean:
	rm -rf build target

help:
	@echo "all check check-format check-lint check-names clean demo format proto release soak soak-drills soak-faults soak-one soak-processes tests"

.PHONY: all check check-format check-lint check-names clean demo format help proto release soak soak-drills soak-faults soak-one soak-processes tests
.SECONDARY:
-include $(shell find build -name '*.d' 2>/dev/null)
