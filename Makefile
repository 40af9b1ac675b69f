# Everything a newcomer runs; the work itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)
STAMP := $(BUILD)/.packages
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h')
C_FILES = $(filter %.c,$(SOURCES))

.PHONY: all packages configure check check-sanitize format lint test demo bench fuzz clean

all: configure
	cmake --build $(BUILD) -j $(JOBS)

# Installs only what debian-packages.txt declares and only what is missing.
packages: $(STAMP)
$(STAMP): debian-packages.txt
	tools/install-packages debian-packages.txt
	mkdir -p $(BUILD) && touch $@

configure: packages
	@test -f $(BUILD)/build.ninja || cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

format:
	clang-format-14 -i $(SOURCES)

lint: all
	tools/check-wire-names
	tools/check-folders
	tools/check-capacity
	tools/check-one-writer
	clang-format-14 --dry-run --Werror $(SOURCES)
	printf '%s\n' $(C_FILES) | xargs -P $(JOBS) -n 4 clang-tidy-14 -quiet --extra-arg=-Wno-unknown-warning-option -p $(BUILD)

test: all
	tools/run-tests $(BUILD) $(TEST_JOBS)
TEST_JOBS ?= 4

check: lint test

check-sanitize: packages
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DLS_SANITIZE=ON
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	tools/run-tests $(BUILD)-sanitize $(TEST_JOBS)

demo: all
	tools/demo $(BUILD)

bench: all
	tools/bench $(BUILD)

fuzz: packages
	tools/fuzz

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize $(BUILD)-fuzz
