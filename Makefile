# README: `make demo` and `make test` do all their own set-up.
#
# Sources are found by pattern: a new file in source/MODULE/ joins the
# library, tests/test-NAME.c becomes build/tests/NAME, tests/standin/NAME.c
# becomes build/standin/NAME, bench/NAME.c becomes build/bench/NAME and
# fuzz/NAME.c becomes build/fuzz/NAME.  SANITIZE=1 builds into build-asan.

PKGS = glib-2.0 gio-2.0 libsoup-3.0 json-glib-1.0 libzmq libprotobuf-c \
	yaml-0.1 libxxhash yajl zlib
CC = gcc
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) argtable2 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
WARN = -Wall -Wextra -Wno-unused-parameter -Werror
OPT ?= -O2 -g
BUILD ?= build
ifdef SANITIZE
OPT = -O1 -g -fno-omit-frame-pointer -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined
BUILD = build-asan
endif
CFLAGS = -std=gnu11 $(WARN) $(OPT) -Iinclude -Isource -I. -Iproto -Itests \
	-Ibench $(PKG_CFLAGS) $(DEFINES)
LDFLAGS = $(filter -fsanitize%,$(OPT))
LIBS = $(PKG_LIBS) -lhttp_parser -lm
TOOL_LIBS = -largtable2

LIB_SRC := $(wildcard source/base/*.c source/core/*.c source/core/*/*.c \
	source/wire/*.c \
	source/settings/*.c source/net/*.c proto/*.c platform/*.c)
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/obj/%.o)
DAEMON_OBJ := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard source/daemon/*.c))
GATEWAY_OBJ := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard source/gateway/*.c))
TOOL_OBJ := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard source/tool/*.c))
SUPPORT_OBJ := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard tests/support/*.c))
TESTS := $(patsubst tests/test-%.c,$(BUILD)/tests/%,$(wildcard tests/test-*.c))
STANDINS := $(patsubst tests/standin/%.c,$(BUILD)/standin/%,\
	$(wildcard tests/standin/*.c))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/*.c))
FUZZERS := $(patsubst fuzz/%.c,$(BUILD)/fuzz/%,$(wildcard fuzz/*.c))
SOAK_OBJ := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard soak/*.c))
PROGRAMS := $(if $(DAEMON_OBJ),$(BUILD)/ragwortd) $(BUILD)/ragwort-gateway \
	$(if $(TOOL_OBJ),$(BUILD)/ragwort) $(BUILD)/soak/soak
LIB = $(BUILD)/libragwortroute.a

.PHONY: all setup test demo check-format format lint clean programs fuzzers reference
.SECONDARY:

# Set-up comes first, in a make of its own: pkg-config's answers are read
# when a makefile is parsed.
test: setup
	$(MAKE) programs
	scripts/run-tests $(BUILD)

demo: setup
	$(MAKE) programs
	scripts/demo $(BUILD)

all: programs

programs: $(LIB) $(PROGRAMS) $(TESTS) $(STANDINS) $(BENCHES)

setup:
	scripts/setup

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/ragwortd: $(DAEMON_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) $(TOOL_LIBS)

# The gateway needs few of the libraries.  They are linked statically: until the
# loader has resolved them, a SIGHUP ends the process.
GATEWAY_LIBS = -Wl,-Bstatic -lyaml -lxxhash -lyajl_s -lhttp_parser \
	$(TOOL_LIBS) -lglib-2.0 -lpcre2-8 -lz -Wl,-Bdynamic -lm
ifdef SANITIZE
GATEWAY_LIBS = -Wl,--as-needed $(LIBS) $(TOOL_LIBS)
endif
$(BUILD)/ragwort-gateway: $(GATEWAY_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(GATEWAY_LIBS)

$(BUILD)/ragwort: $(TOOL_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) $(TOOL_LIBS)

$(BUILD)/soak/soak: $(SOAK_OBJ) $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) $(TOOL_LIBS) -lcmocka

$(BUILD)/tests/%: $(BUILD)/obj/tests/test-%.o $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lcmocka

# The randomised program has its fakes in files of its own.
$(BUILD)/tests/random: $(patsubst %.c,$(BUILD)/obj/%.o,\
	$(wildcard tests/random/*.c))

# What the tool is made of and a test looks into.
$(BUILD)/tests/bench: $(BUILD)/obj/source/tool/bench-scenario.o \
	$(BUILD)/obj/source/tool/bench-histogram.o

# The same of the gateway.
$(BUILD)/tests/request-head: $(BUILD)/obj/source/gateway/request-head.o

$(BUILD)/bench/policy: $(patsubst %.c,$(BUILD)/obj/%.o,\
	$(wildcard bench/policy/*.c))

GATE_BENCH_OBJ := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard bench/gate/*.c))
$(BUILD)/bench/gate: $(GATE_BENCH_OBJ)
$(BUILD)/tests/gate-emulated $(BUILD)/tests/gate-generated: $(GATE_BENCH_OBJ)

$(BUILD)/standin/%: $(BUILD)/obj/tests/standin/%.o $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) $(TOOL_LIBS) -lcmocka

$(BUILD)/bench/%: $(BUILD)/obj/bench/%.o $(SUPPORT_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) $(TOOL_LIBS) -lcmocka

# Built by scripts/ci.d/fuzz, with clang and into a directory of its own.
fuzzers: $(FUZZERS)

$(BUILD)/fuzz/%: $(BUILD)/obj/fuzz/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -fsanitize=fuzzer -o $@ $^ $(LIBS)

C_FILES = $(shell git ls-files '*.c' '*.h' ':!*pb-c*')

format:
	clang-format -i $(C_FILES)

check-format:
	clang-format --dry-run --Werror $(C_FILES)

lint:
	scripts/lint

# The pages that are made from tables of the source.
reference: $(BUILD)/ragwort
	$(BUILD)/ragwort settings-reference >docs/SETTINGS.md
	$(BUILD)/ragwort metrics-reference >docs/METRICS.md
	$(BUILD)/ragwort policy-reference >docs/POLICY.md
	scripts/source-map >docs/MAP.md

clean:
	rm -rf build build-asan build-fuzz build-mutant-*

-include $(shell find $(BUILD)/obj -name '*.d' 2>/dev/null)
