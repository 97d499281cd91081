.PHONY: build test lint run toy

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./...

# the toy hosts, list and platform of the example; then, beside it, the router
toy:
	go run ./examples/toy

run: build
	bin/portflow serve --config examples/config.json
