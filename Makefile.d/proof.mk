# Targets: model fuzz-corpus fuzz sanitize check-clang generated.

MODEL_JOBS = 3
FUZZ_SECONDS = 60
FUZZ_RUNS = 20000
FUZZ_SEED = 1
FUZZ_CC = clang
FUZZ_BUILD = $(BUILD)/fuzz
FUZZ_SAN = -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined

# Every fuzz/fuzz_NAME.c is a fuzz target; its corpus is fuzz/corpus/NAME/.
FUZZ_NAMES = $(patsubst fuzz/fuzz_%.c,%,$(wildcard fuzz/fuzz_*.c))
FUZZ_BINS = $(patsubst %,$(FUZZ_BUILD)/fuzz_%,$(FUZZ_NAMES))
FUZZ_LIB = $(FUZZ_BUILD)/libjhfuzz.a
FUZZ_LIB_SRC = $(LIB_SRC) $(NET_SRC) $(ENTRY_SRC) $(AGENT_SRC) $(CTL_SRC) \
    $(PLATFORM_SRC)

model:
	BUILD=$(BUILD) JOBS=$(MODEL_JOBS) sh model/run.sh

# The generated RPC code is compiled without these warnings here too.
$(FUZZ_BUILD)/src/rpc/control_%.o: CFLAGS += -Wno-unused-variable \
    -Wno-missing-prototypes -Wno-strict-prototypes -Wno-cast-function-type \
    -Wno-shadow

$(FUZZ_BUILD)/src/%.o: src/%.c
	@mkdir -p $(@D)
	@$(FUZZ_CC) $(CPPFLAGS) $(CFLAGS) \
	    $(subst fuzzer,fuzzer-no-link,$(FUZZ_SAN)) -MMD -MP -c -o $@ $<

$(FUZZ_BUILD)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	@$(FUZZ_CC) $(CPPFLAGS) $(CFLAGS) \
	    $(subst fuzzer,fuzzer-no-link,$(FUZZ_SAN)) -MMD -MP -c -o $@ $<

$(FUZZ_LIB): $(patsubst %.c,$(FUZZ_BUILD)/%.o,$(FUZZ_LIB_SRC))
	@rm -f $@
	@ar rcs $@ $^

$(FUZZ_BUILD)/fuzz_%: fuzz/fuzz_%.c $(FUZZ_LIB)
	@echo "FUZZ $@"
	@$(FUZZ_CC) $(CPPFLAGS) $(CFLAGS) $(FUZZ_SAN) -MMD -MP -MF $@.d -o $@ \
	    $< $(FUZZ_LIB) $(LDLIBS)

# Runs the corpus, then a fixed number of derived inputs with a fixed seed. The
# corpus is not changed.
fuzz-corpus: $(FUZZ_BINS)
	BUILD=$(BUILD) sh fuzz/run.sh corpus $(FUZZ_RUNS) $(FUZZ_SEED) \
	    $(FUZZ_NAMES)

# Searches for new inputs, which go into $(FUZZ_BUILD)/found/NAME; copy the
# useful ones into fuzz/corpus/NAME.
fuzz: $(FUZZ_BINS)
	BUILD=$(BUILD) sh fuzz/run.sh search $(FUZZ_SECONDS) $(FUZZ_SEED) \
	    $(FUZZ_NAMES)

# Runs the whole test suite with ASan and UBSan, then with TSan. For TSan,
# GLib's slices are off, because TSan does not see that they pass memory between
# threads. For ASan, the quarantine of freed memory is 1 MB instead of 256 MB,
# because test_proc_clients limits the growth of the daemons' memory to 8 MB.
TSAN_SETTINGS = exitcode=66:suppressions=$(CURDIR)/test/tsan.supp

sanitize: sanitize-address sanitize-thread

build-address build-thread: build-%:
	$(MAKE) BUILD=$(SAN_BUILD_$*) SAN=$(SAN_$*) all \
	    $(patsubst $(BUILD)/%,$(SAN_BUILD_$*)/%,$(TESTS))

SAN_address = address,undefined
SAN_thread = thread
SAN_BUILD_address = build-asan
SAN_BUILD_thread = build-tsan

sanitize-address:
	ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64 \
	UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 \
	    $(MAKE) BUILD=build-asan SAN=address,undefined test

sanitize-thread:
	TSAN_OPTIONS=$(TSAN_SETTINGS) G_SLICE=always-malloc \
	    $(MAKE) BUILD=build-tsan SAN=thread test

check-clang:
	$(MAKE) BUILD=build-clang CC=clang all $(patsubst \
	    $(BUILD)/%,build-clang/%,$(TESTS))
	@echo "1 passed, 0 failed"

# The committed files must match the output of rpcgen for src/rpc/control.x.
generated:
	@mkdir -p $(BUILD)/generated
	@sh src/rpc/generate.sh "$(CURDIR)/$(BUILD)/generated"
	diff src/rpc/control.h $(BUILD)/generated/control.h
	diff src/rpc/control_xdr.c $(BUILD)/generated/control_xdr.c

.PHONY: model fuzz-corpus fuzz sanitize sanitize-address sanitize-thread \
    build-address build-thread check-clang generated
