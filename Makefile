GO ?= go

.PHONY: build run test lint fmt soak capacity bench

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	./bin/peridotraild quickstart

test:
	$(GO) test ./...

fmt:
	gofmt -w $$(git ls-files '*.go')

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt needed: $$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
