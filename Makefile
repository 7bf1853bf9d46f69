# The one door: make help lists what can be done.

SEED ?= 1
ROUNDS ?= 200

.PHONY: help build demo test lint bench generate soak slopes fuzz

help: ## list the targets
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

build: ## build the one binary
	go build -o oxbowsaddle .

demo: ## run the main job on this machine
	go run . demo

test: ## run every test with fixed seeds
	go test ./... -count=1 -rapid.seed=1

generate: ## build the generated code again (needs protoc and its two plugins)
	cd internal/wire && protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
