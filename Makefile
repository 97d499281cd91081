.PHONY: build test lint run toy demo system peak trial

build:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && .ci/lint-debt

# the toy hosts, list and platform of the example; then, beside it, the router
toy:
	go run ./examples/toy

run: build
	bin/portflow serve --config examples/config.json

# the toy, a router and a few commands in one go
demo: build
	@go build -o bin/toy ./examples/toy; bin/toy & toy=$$!; bin/portflow serve --config examples/config.json & router=$$!; \
	trap "kill $$router $$toy" EXIT; \
	for i in $$(seq 50); do curl -sf http://127.0.0.1:8081/-/ready && break; sleep 0.1; done; \
	for i in 1 2 3 4; do curl -sS -H "X-Trace-Id: demo-$$i" -H 'X-Qos: display' -H 'X-Customer: acme' \
	-H 'X-Expires-In: 480m' "http://127.0.0.1:8081/display?obj=$$i"; done

# a caller at ten times its share over 13 routers, all of it at one and then all at another
peak:
	go run ./cmd/lab shares --trouble moves

# a small cluster on loopback: three zones, a configuration, requests, a control process and a router killed; ends with a table
system:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/system.toml)"
	@go run ./examples/cluster

# the deployed programs on loopback for 30 s: load, configuration changes, signals, all control processes killed; judged
trial:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/system.toml)"
	@go run ./cmd/lab trial
