GO ?= go
BIN := bin

.PHONY: all build generate test lint demo stats bench soak

all: build

# build compiles the programs into bin/.
build:
	$(GO) build -o $(BIN)/ ./cmd/...

# generate compiles the schema and the settings; the result is committed.
generate:
	$(GO) run ./internal/cmd/protogen .
	$(GO) run ./internal/cmd/settingsgen .

# test runs all tests with fixed seeds, but for those that KNOWN-RED.txt lists under
# "skip". Results are not taken from the cache, since the tests of the programs build
# them anew.
RED := $(shell sed -n 's/^  skip: //p' KNOWN-RED.txt | paste -sd '|' -)
test:
	$(GO) test -count=1 $(if $(RED),-skip '$(RED)') ./...

# lint checks formatting and runs the static checks.
lint:
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# demo starts the stand-ins and six routers on loopback and prints a report.
demo: build
	./demo/run.sh

# soak plays fresh seeds of random faults against router processes for some minutes.
SEED ?= $(shell date +%s)
RUNS ?= 6
soak: build
	$(BIN)/chiveseam-soak --program $(BIN)/chiveseam-edge --seed $(SEED) --runs $(RUNS)

bench:
	$(GO) test -count=1 ./... -run '^$$' -bench . -benchmem

# stats counts hand-written code and tests by group of packages.
stats:
	$(GO) run ./internal/cmd/stats .
