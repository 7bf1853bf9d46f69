# `make help` lists the targets.

SEED ?= 1
ROUNDS ?= 25
RUNS ?= 100
GOBIN ?= $(CURDIR)/bin
GOLANGCI_LINT_VERSION ?= v2.15.0
GOPLS_VERSION ?= v0.21.1
FUZZTIME ?= 20s

.PHONY: help build demo test lint tools gopls bench generate man soak slopes fuzz bench-platform experiment

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the binary
	go build -o oxbowsaddle .

demo: ## run a whole fleet with simulated traffic on this host
	go run . demo

test: ## run all tests, with fixed seeds
	go test ./... -count=1

tools: ## install the linter
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

gopls: ## install gopls, for renaming identifiers
	GOBIN=$(GOBIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: ## check the formatting and run the linter
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	$(GOBIN)/golangci-lint run ./...

bench: ## run the benchmarks
	go test ./... -run '^$$' -bench . -benchmem -skip 'Overload|Scenarios|Loopback'
	go test ./internal/work ./internal/soak ./internal/instance -run '^$$' -bench 'Overload|Scenarios|Loopback' -benchtime 1x

soak: ## run long randomised tests: make soak SEED=n RUNS=n ROUNDS=n
	go test ./internal/soak -run TestMix -count=1 -timeout 2h -soak.seed=$(SEED) -soak.runs=$(RUNS) -soak.rounds=$(ROUNDS)
	go test ./internal/replica -run TestSchedules -count=1 -timeout 2h -replica.seed=$(SEED) -replica.runs=$$(( $(RUNS) * 20 ))
	go test ./internal/directory -run TestDirectory -count=1 -timeout 2h -directory.seed=$(SEED) -directory.runs=$(RUNS)

slopes: ## measure the resource use per unit of load for docs/CAPACITY.md
	go run ./tools slopes --out docs/slopes

experiment: ## print benchmark results from the journal: make experiment ARGS='--why "..."'
	@go run ./tools experiment $(ARGS)

fuzz: ## fuzz the packet decoders, the settings and configuration parsers, the log, the reports, packets with admission control and the credit requests
	go test ./internal/packet -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	go test ./internal/settings -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	go test ./internal/intent -run '^$$' -fuzz FuzzParseFile -fuzztime $(FUZZTIME)
	go test ./internal/storage -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZTIME)
	go test ./platform -run '^$$' -fuzz FuzzDecodePacket -fuzztime $(FUZZTIME)
	go test ./platform -run '^$$' -fuzz FuzzDecodeConfig -fuzztime $(FUZZTIME)
	go test ./platform -run '^$$' -fuzz FuzzReadBeat -fuzztime $(FUZZTIME)
	go test ./platform -run '^$$' -fuzz FuzzReadLeave -fuzztime $(FUZZTIME)
	go test ./internal/steer -run '^$$' -fuzz FuzzReports -fuzztime $(FUZZTIME)
	go test ./internal/steer -run '^$$' -fuzz FuzzPacketsWithAdmission -fuzztime $(FUZZTIME)
	go test ./internal/admission -run '^$$' -fuzz FuzzHandle -fuzztime $(FUZZTIME)

KIT ?= ../given/kit/more/system
BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
SITES ?= shifted/drcs-dakar-now-grown further/fcmt-taipei large/drcs-dakar-large
WHY ?= standard days

bench-platform: ## run the users' benchmark, if their kit is installed: make bench-platform WHY="..."
	@if test -x $(BENCH); then \
		for site in $(SITES); do $(BENCH) score $(KIT)/$$site.toml --why "$(WHY)"; done; \
	else echo "the users' kit does not stand at $(KIT): nothing was played"; fi

man: ## regenerate the manual pages
	go run ./tools man docs/man

generate: ## regenerate the code from the .proto files (needs protoc and its two plugins)
	cd internal/wire && protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto directory.proto
