# Every command a person or CI runs. `make help` lists them.
BUILD ?= build
JOBS  ?= 6
CONFIG = cmake -S . -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_COMPILER_LAUNCHER=ccache
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.h')

# The working folder differs between clones; relative paths let them share one compiler cache.
export CCACHE_BASEDIR = $(CURDIR)
export CCACHE_NOHASHDIR = true

.PHONY: help deps build test demo bench lint format format-check sanitize soak fuzz capacity

help:           ## this list
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/ -/'

deps:           ## install what the build declares (Debian packages)
	@scripts/deps

build: deps     ## both binaries, stand-ins, tests and benches
	$(CONFIG) -B $(BUILD)
	cmake --build $(BUILD) -j $(JOBS)

test: build     ## every test
	ctest --test-dir $(BUILD) --output-on-failure -j 4

bench: build    ## benches with bounds; fails on a broken one
	$(BUILD)/bin/policy_bench --json $(BUILD)/policy_bench.json

lint: build     ## clang-tidy over all sources
	@scripts/lint $(BUILD) $(JOBS)

format:         ## rewrite sources in the house format
	clang-format -i $(SOURCES)

format-check:   ## fail when a source is not in the house format
	clang-format --dry-run --Werror $(SOURCES)

sanitize: deps  ## decision packages and gateway under address and undefined-behaviour sanitizers
	$(CONFIG) -B $(BUILD)-sanitize -DBAOBABSTALL_SANITIZE=ON
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j 4 -LE process
