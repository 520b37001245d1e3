.PHONY: all build demo test prove bench clean

all: build

build:
	go build -o bin/ ./cmd/...

# Starts a small site and serves the example requests of both deployments.
demo: build
	sh scripts/demo.sh

# Formatter, linter, tests and model.
test:
	sh scripts/test.sh

# All proofs under failure, one line for each point.
prove:
	sh scripts/prove.sh

# Policies side by side, and the added latency.
bench: build
	sh scripts/bench.sh

clean:
	rm -rf bin out spec/build
