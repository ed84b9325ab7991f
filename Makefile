# Port range of the demo; set another one when it is taken.
DEMO_BASE_PORT ?= 21000

.PHONY: build demo test measure soak fmt lint generate

build:
	go build -o bin/ ./cmd/...

demo: build
	go run ./test/demo -bin bin -base-port $(DEMO_BASE_PORT)

# Tests named in KNOWN-RED.txt are run and printed; any other failure fails.
test: lint
	go run ./test/runtests

lint:
	@files="$$(go tool gofumpt -l cmd pkg platform test)"; if [ -n "$$files" ]; then echo "not formatted:"; echo "$$files"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

fmt:
	go tool gofumpt -w cmd pkg platform test

# Random seeds of the fault soak; SOAK_FROM and SOAK_LOGS are taken from the environment.
SEEDS ?= 10
soak:
	SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 120m -parallel 4 -v -run TestSoak ./test/platform/soak

measure:
	@go run ./test/measure

generate:
	GOBIN=$(CURDIR)/bin go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	go generate ./pkg/pb
