# Modules of the workspace, in dependency order.
MODULES := $(shell sed -n 's|^	\./||p' go.work)
TESTED  := $(filter-out tools,$(MODULES))
PKGS    := $(TESTED:%=./%/...)

# Packages with property tests, which "make test" runs with a fixed seed.
RAPID   := $(sort $(dir $(shell grep -rl --include='*_test.go' pgregory.net/rapid $(TESTED:%=./%))))
SEED    := 1887

SHELL   := /bin/bash

.PHONY: all build fmt-check vet lint test soak fuzz demo bench policy-bench model model-mutants generate clean

all: build

build:
	go build -o .bin/ $(PKGS)

fmt-check:
	@out=$$(gofmt -l $(TESTED)) || exit 1; if [ -n "$$out" ]; then echo "not gofmt-clean:"; echo "$$out"; exit 1; fi

vet:
	go vet $(PKGS)

lint:
	go tool staticcheck -checks inherit $(PKGS)

# KNOWN_RED is a regular expression that matches the tests to skip.
test:
	go test -race -count=1 -timeout 5m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$(go list $(PKGS) | grep -vxFf <(go list $(RAPID)))
	go test -race -count=1 -timeout 5m $(RAPID) -rapid.seed=$(SEED)

# Runs real gateways under random faults. "make test" includes a short run.
# SOAKFLAGS='-soak.first=0 -soak.seeds=50' uses fifty new seeds.
soak:
	go test -count=1 -timeout 60m -parallel 4 ./tests/soak -v $(SOAKFLAGS)

# Runs each fuzz target for FUZZTIME, by default 10s. "make test" runs their seed corpora.
fuzz:
	scripts/fuzz.sh $(PKGS)

demo:
	scripts/demo.sh

# Writes figures to out/bench; docs/CAPACITY.md describes how to read them.
bench:
	go build -o .bin/ ./bench/cmd/...
	timeout 200 go test -run '^$$' -bench Plan -benchtime 200ms -count 3 ./fleet/router
	timeout 200 go test -run '^$$' -bench Offer -benchtime 1x -count 3 ./fleet/adopt
	timeout 900 .bin/cassialatch-bench $(BENCHFLAGS)

policy-bench:
	go build -o .bin/ ./bench/cmd/...
	timeout 1200 .bin/policy-bench $(POLICYFLAGS)
	.bin/policy-bench -plots docs/bench out/bench/policy.csv

model:
	scripts/model.sh check

model-mutants:
	scripts/model.sh mutants

generate:
	go build -o .bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH=$(CURDIR)/.bin:$$PATH protoc --go_out=wire --go_opt=module=cassialatch.dev/wire --go-drpc_out=wire --go-drpc_opt=module=cassialatch.dev/wire -I wire wire/peerpb/peer.proto

clean:
	rm -rf .bin out
