# Every target makes the virtual environment first where it is missing.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := model settings wire policy store http1 tier upstream caller \
	daemon cli fakes lab soak
ROOTS := $(foreach p,$(PACKAGES),packages/$(p)) platform
SOURCES := packages platform
STAMP := $(VENV)/.installed

# For make measure: SEED, SCENARIO and DEPLOYMENT choose; JSON=1 prints lines.
SEED ?= 1 2 3
SCENARIO ?=
DEPLOYMENT ?=
JSON ?=
JOBS ?= 6
MEASURED := out/measure

BENCH_PORT ?= 18391

.PHONY: test demo demo-brittany demo-nordvind measure bench slopes concert soak lint clean

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) \
		platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach r,$(ROOTS),-e $(r))
	touch $@

test: $(STAMP)
	@set -e; for r in $(ROOTS); do \
		if ls $$r/tests/test_*.py >/dev/null 2>&1; then \
			echo "== $$r"; \
			$(BIN)/python -m nose2 -s $$r/tests -t $$r/tests; \
		fi; \
	done

# Three nodes on the users' protocol, and what goes wrong, explained.
demo: $(STAMP)
	@$(BIN)/python -m godwitflow.soak.demo

# The product's own protocol, with the sizes of each deployment.
demo-brittany: $(STAMP)
	$(BIN)/godwitflow demo --deployment brittany

demo-nordvind: $(STAMP)
	$(BIN)/godwitflow demo --deployment svealand

measure: $(STAMP)
	@rm -rf $(MEASURED); mkdir -p $(MEASURED)
	@$(BIN)/python -m godwitflow.lab.report plan "$(SCENARIO)" \
		"$(DEPLOYMENT)" $(SEED) | xargs -P $(JOBS) -I{} sh -c \
		'$(BIN)/python -m godwitflow.lab.measure {} \
		> "$(MEASURED)/{}.jsonl"'
	@$(BIN)/python -m godwitflow.lab.report \
		$(if $(JSON),json,table) $(MEASURED)

bench: $(STAMP)
	@$(BIN)/python -m godwitflow.lab.bench_server $(BENCH_PORT) & \
		server=$$!; trap "kill $$server" EXIT; sleep 1; \
		JSON=$(JSON) $(BIN)/python -m godwitflow.lab.bench \
		http://127.0.0.1:$(BENCH_PORT)

# Measures control, ownership, pieces, spread and claims against size.
slopes: $(STAMP)
	@mkdir -p out
	@$(BIN)/python -m godwitflow.lab.slopes out/slopes.csv
	@$(BIN)/python -m godwitflow.lab.plots out/slopes.csv out/slopes.png

# Nine nodes replaced under load, live on loopback; JSON=1 for a line.
concert: $(STAMP)
	@JSON=$(JSON) $(BIN)/python -m godwitflow.lab.concert

# Real nodes under randomized faults: make soak SEEDS="1 2 3" SECONDS_EACH=15
SEEDS ?= 1 2 3
SECONDS_EACH ?= 15
soak: $(STAMP)
	@$(BIN)/python -m godwitflow.soak.main $(SEEDS) \
		--seconds $(SECONDS_EACH) --folder out/soak

lint: $(STAMP)
	$(BIN)/ruff format --check --quiet $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(foreach r,$(ROOTS),$(r)/src)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache
