.PHONY: build test lint run toy demo system peak trial soak

build:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && .ci/lint-debt

# hosts, discovery and platform for the example; start the router next to them with `make run`
toy:
	go run ./examples/toy

run: build
	bin/portflow serve --config examples/config.json

# starts the example servers and a router, and sends a few requests
demo: build
	@go build -o bin/toy ./examples/toy; bin/toy & toy=$$!; bin/portflow serve --config examples/config.json & router=$$!; \
	trap "kill $$router $$toy" EXIT; \
	for i in $$(seq 50); do curl -sf http://127.0.0.1:8081/-/ready && break; sleep 0.1; done; \
	for i in 1 2 3 4; do curl -sS -H "X-Trace-Id: demo-$$i" -H 'X-Qos: display' -H 'X-Customer: acme' \
	-H 'X-Expires-In: 480m' "http://127.0.0.1:8081/display?obj=$$i"; done

# simulates a caller at ten times its quota across 13 routers, all of it at one router and then all at another
peak:
	go run ./cmd/lab shares --trouble moves

# runs a small cluster on loopback: three zones, a configuration, requests, and a control process and a proxy that are killed;
# prints a table of results
system:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/system.toml)"
	@go run ./examples/cluster

# runs the deployed programs on loopback for 30 s under load, with configuration changes, signals and a kill of all control
# processes, and checks the results
trial:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/system.toml)"
	@go run ./cmd/lab trial

# runs short soaks of the deployed programs on loopback, three trials with fixed seeds, two at a time: clients that use connections until they are
# closed, configuration changes and overlapping signal series
soak:
	@sh -ec "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/system.toml)"
	@go run ./cmd/lab trial --seeds 3 --parallel 2
