# Builds sapphirepond, its tests and stand-ins. "make help" lists the targets.

PKGS := talloc tevent libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash libcrypto
VARIANT ?= release
BUILD := build/$(VARIANT)

CC ?= gcc
CXX ?= g++
WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror
SAN_release := -O2 -DPOND_INVARIANTS_FATAL
SAN_asan := -O1 -DPOND_INVARIANTS_FATAL -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer
SAN_tsan := -O1 -DPOND_INVARIANTS_FATAL -fsanitize=thread
SAN := $(SAN_$(VARIANT))
CPPFLAGS := -Isrc -I. -Itests -Itests/unit -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS))
CFLAGS := -std=c11 -g -pthread $(SAN) $(WARN)
CXXFLAGS := -std=c++17 -g -pthread $(SAN) -Wall -Wextra -fno-exceptions
LDFLAGS := -pthread $(SAN)
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lm -lstdc++

LIB_SRC := $(filter-out src/cli/main.c,$(sort $(wildcard src/*/*.c platform/*.c)))
LIB_CXX := $(sort $(wildcard src/*/*.cc))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o) $(LIB_CXX:%.cc=$(BUILD)/%.o)
FAKE_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard tests/fakes/*.c)))
UNIT_SRC := $(sort $(wildcard tests/unit/test_*.c))
UNIT_BIN := $(UNIT_SRC:%.c=$(BUILD)/%)
UNIT_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(UNIT_SRC) tests/unit/fake_host.c,$(sort $(wildcard tests/unit/*.c))))
STANDIN_SRC := $(sort $(wildcard tests/standins/standin_*.c))
STANDIN_BIN := $(STANDIN_SRC:%.c=$(BUILD)/%)
STANDIN_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(STANDIN_SRC),$(sort $(wildcard tests/standins/*.c))))
BENCH_SRC := $(sort $(wildcard bench/bench_*.c))
BENCH_BIN := $(BENCH_SRC:%.c=$(BUILD)/%)
BENCH_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(BENCH_SRC),$(sort $(wildcard bench/*.c))))
SOAK_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard tests/soak/*.c)))
BIN := $(BUILD)/sapphirepond
FORMAT_SRC := $(filter-out %.pb-c.c %.pb-c.h,$(sort $(wildcard src/*/*.[ch] platform/*.[ch] tests/*/*.[ch] bench/*.[ch])))
TIDY_SRC := $(filter %.c,$(FORMAT_SRC))

all: $(if $(wildcard src/cli/main.c),$(BIN)) $(UNIT_BIN) $(STANDIN_BIN) $(BENCH_BIN) $(if $(SOAK_OBJ),$(BUILD)/soak)

# What the tests need; sanitizer builds leave the benchmarks out.
tests: $(BIN) $(UNIT_BIN) $(STANDIN_BIN) $(BUILD)/soak

$(BIN): $(BUILD)/src/cli/main.o $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/libpond.a: $(LIB_OBJ) Makefile
	rm -f $@
	ar qcs $@ $(filter %.o,$^)

$(BUILD)/libfakes.a: $(FAKE_OBJ) Makefile
	rm -f $@
	ar qcs $@ $(filter %.o,$^)

$(BUILD)/libstandins.a: $(STANDIN_OBJ) Makefile
	rm -f $@
	ar qcs $@ $(filter %.o,$^)

# An archive, so that each test program takes only the helpers that it uses.
$(BUILD)/libunit.a: $(UNIT_OBJ) Makefile
	rm -f $@
	ar qcs $@ $(filter %.o,$^)

$(UNIT_BIN): $(BUILD)/tests/unit/%: $(BUILD)/tests/unit/%.o $(BUILD)/libunit.a $(BUILD)/libstandins.a $(BUILD)/libfakes.a $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS) -lcunit

# These replace the ledger, the bookings and the routes by fakes of the same functions.
$(BUILD)/tests/unit/test_api_front $(BUILD)/bench/bench_path: LDFLAGS += -Wl,-z,muldefs
$(BUILD)/tests/unit/test_api_front $(BUILD)/bench/bench_path: $(BUILD)/tests/unit/fake_host.o

$(STANDIN_BIN): %: %.o $(BUILD)/libstandins.a $(BUILD)/libfakes.a $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BENCH_BIN): %: %.o $(BENCH_OBJ) $(BUILD)/libfakes.a $(BUILD)/libpond.a
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

# Added latency, streams, tokens a second and memory of the data path, against stand-ins.
bench: all
	@bench/bench_path.sh
	@bench/bench_host.sh

$(BUILD)/soak: $(SOAK_OBJ) $(BUILD)/libfakes.a $(BUILD)/libpond.a
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
	@clang-tidy --quiet $< -- -std=c11 $(CPPFLAGS) -MMD -MP -MF $(@:.ok=.d) -MT $@ 2>$(@:.ok=.log) || { cat $(@:.ok=.log); exit 1; }
	@touch $@
check-lint: $(TIDY_STAMPS)

# Prints the table of docs/decisions/grants.md. Takes a few minutes.
bench-budgets: $(BUILD)/bench/bench_budgets
	$(BUILD)/bench/bench_budgets

check:
	@tests/check.sh

# Virtual time and fixed seeds: the same figures on every run.
bench-routing: $(BUILD)/bench/bench_routing
	@$(BUILD)/bench/bench_routing

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

demo:
	@scripts/demo.sh
bench-tickets: $(BUILD)/bench/bench_tickets
	@$(BUILD)/bench/bench_tickets
bench-members: $(BUILD)/bench/bench_members
	$<

# Slopes by size and what they give at the target size; takes about a minute.
capacity: $(BUILD)/bench/bench_capacity
	@$< build/capacity.json

clean:
	rm -rf build

help:
	@echo "all bench bench-budgets bench-members bench-routing bench-tickets capacity check check-format check-lint clean demo format proto soak soak-faults soak-one tests"

.PHONY: all bench bench-budgets bench-members bench-routing bench-tickets capacity check check-format check-lint clean demo format proto soak soak-faults soak-one tests help
.SECONDARY:
-include $(shell find build -name '*.d' 2>/dev/null)

# What the platform runs; needs none of the tests.
release: target/sapphirepond
target/sapphirepond: $(BIN)
	@mkdir -p target
	cp $< $@
.PHONY: release
