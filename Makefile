.PHONY: build test lint generate demo bench capacity soak

build:
	go build -o bin/ ./cmd/...

test:
	.ci/test

lint:
	test -z "$$(go tool gofumpt -l .)" || { go tool gofumpt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Needs protoc; the generated code is committed, so that the build does not.
generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/bin:$$PATH" protoc -I proto --go_out=. --go_opt=module=github.com/basiltally/basiltally proto/basiltally/v1/*.proto

demo: build
	bin/basiltally-demo

# Plays the kept seeds, then fresh ones. Logs of a seed that breaks a promise stay in the
# place for temporary files.
soak: build
	bin/basiltally-soak --seeds "$$(awk '!/^#/ && NF { print $$1 }' standin/soak/seeds.txt | paste -sd,)"
	bin/basiltally-soak --only "step back,statements" --length 10s --seeds "$$(awk '!/^#/ && NF { print $$1 }' standin/soak/seeds-step-back.txt | paste -sd,)"
	bin/basiltally-soak --only "cut after outage" --length 4s --seeds "$$(awk '!/^#/ && NF { print $$1 }' standin/soak/seeds-holds.txt | paste -sd,)"
	bin/basiltally-soak --only "extra answers,long work,target leaves,target restarts" --length 14s --seeds "$$(awk '!/^#/ && NF { print $$1 }' standin/soak/seeds-extra-answers.txt | paste -sd,)"
	bin/basiltally-soak --count 3
	bin/basiltally-soak --hard-load --length 8s --seeds "$$(awk '!/^#/ && NF { print $$1 }' standin/soak/seeds-hard-load.txt | paste -sd,)"
	bin/basiltally-soak --hard-load --count 3

# Prints the cost of each role from measured slopes, see docs/CAPACITY.md.
capacity:
	go run ./cmd/basiltally-capacity

# Compares one entry with direct calls, memory with slow readers, and policies with the baseline.
bench: build
	bin/basiltally-experiment overhead
	bin/basiltally-experiment slow
	bin/basiltally-experiment policy
