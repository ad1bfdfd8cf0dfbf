GO ?= go

.PHONY: build run test lint fmt soak capacity

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	./bin/peridotraild quickstart

# Packages under test/ run whole fleets, so they are tested one after another. Those of
# platform/ run up to 300 hosts, which takes longer than the default timeout on a busy machine.
test:
	$(GO) test -timeout 20m ./cmd/... ./internal/... ./platform/...
	$(GO) test -p 1 -parallel 3 ./test/...

fmt:
	gofmt -w $$(git ls-files '*.go')

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt needed: $$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Measures the slopes of docs/CAPACITY.md again and fails if the page differs.
capacity:
	$(GO) run ./test/capacity --check docs/CAPACITY.md

# A long randomised run of whole fleets, such as make soak SEED=7 LENGTH=10m.
SEED ?= 1
LENGTH ?= 2m
soak:
	$(GO) test -count=1 -timeout 0 -v -run TestSoak ./test/failure -args -soak.seed=$(SEED) -soak.length=$(LENGTH)
