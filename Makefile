TOOL = go tool -modfile=tools/go.mod

.PHONY: build test check format lint generate generate-check demo bench fuzz soak

build:
	go build -o bin/ ./cmd/...

test:
	tools/test.sh

check: format-check lint vet generate-check

format:
	$(TOOL) gofumpt -w cmd core io internal

format-check:
	@out="$$($(TOOL) gofumpt -l cmd core io internal)"; test -z "$$out" || { echo "not formatted: $$out"; exit 1; }

lint:
	$(TOOL) revive -config revive.toml -set_exit_status ./...

vet:
	go vet ./...

generate:
	tools/generate.sh core/wire/wire.go

generate-check:
	@tmp="$$(mktemp -d)"; tools/generate.sh "$$tmp/wire.go"; cmp "$$tmp/wire.go" core/wire/wire.go; rm -r "$$tmp"

demo:
	go run ./cmd/demo

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	tools/fuzz.sh

# Plays faults on real processes from outside: SEEDS fresh seeds, 50 if not given.
soak:
	JAYSHIFT_SOAK=$(or $(SEEDS),50) go test ./platform -run TestSoak -v -parallel 4 -timeout 60m
