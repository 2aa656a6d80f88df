# Targets: run, test, prove, bench, load, fuzz. See README.md.

MODULES := schedule platform scheduler entry standin ctl replay load soak demo bench
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
FUZZTIME ?= 20s
# Flag of go test that skips the tests listed for it in KNOWN-RED.txt, empty if
# there are none.
SKIP = $(shell sh tools/knownred.sh | paste -sd '|' | sed -n "s/..*/-skip '^(&)$$'/p")

.PHONY: run test format lint generated wire build vet unit crowd prove bench load fuzz generate

run:
	go run ./demo

test: format lint generated wire build vet unit crowd

# Fails if a file is not formatted with gofumpt.
format:
	@out=$$(go tool gofumpt -l $(MODULES)); test -z "$$out" || { echo "gofumpt would change:"; echo "$$out"; exit 1; }

lint:
	@go tool revive -config revive.toml -set_exit_status $(PACKAGES)

# Fails if a generated file differs from the output of go generate.
generated:
	@sh tools/generated.sh

generate:
	@for m in $(MODULES); do (cd $$m && go generate ./...) || exit 1; done

# Fails if names of the platform's wire protocol are used outside platform/ and
# standin/.
wire:
	@sh tools/wire.sh

build:
	go build -o bin/ $(PACKAGES)

vet:
	go vet $(PACKAGES)

unit:
	@names=$$(sh tools/knownred.sh) && for n in $$names; do echo "skipped, see KNOWN-RED.txt: $$n"; done
	$(strip go test -race $(SKIP) $$(go list $(PACKAGES) | grep -v '/soak/crowd$$'))

# Runs the tests with crowds of clients by themselves, since they check the memory
# of the programs.
crowd:
	$(strip go test -count=1 $(SKIP) ./soak/crowd)

prove:
	go run ./replay prove

bench:
	go run ./bench

load: build
	sh load/run.sh

# Runs every fuzz test for the duration FUZZTIME.
fuzz:
	sh tools/fuzz.sh $(FUZZTIME)
