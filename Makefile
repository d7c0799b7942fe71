# Both targets set up all they need on a fresh machine with python3.11 or later.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check setup soak slopes idle bench recovery mutants deciding takeover thinlinks

setup: $(VENV)/ready

$(VENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -e ".[dev]"
	touch $@

demo: setup
	$(BIN)/granitetrestle-demo

# REPORT=FILE also writes what each scenario came to, as JSON. LANES=N runs N files at a time.
test: setup
	$(BIN)/python tools/run_features.py $(if $(LANES),--lanes $(LANES)) $(if $(REPORT),--report $(REPORT))

check: setup
	$(BIN)/ruff format --check src features tools
	$(BIN)/ruff check src features tools
	$(BIN)/mypy

# SEEDS="FIRST END" names the seeds of the storms.
soak: setup
	$(BIN)/python -m granitetrestle_standins.soak
	$(BIN)/python -m granitetrestle_standins.nativesoak
	$(BIN)/python -m granitetrestle_standins.nativesoak --boxes 8 --operations 60
	$(BIN)/python -m granitetrestle_standins.stormsoak $(or $(SEEDS),1 6)

slopes: setup
	$(BIN)/python -m granitetrestle_bench.slopes

idle: setup
	$(BIN)/python -m granitetrestle_bench.idle

mutants: setup
	$(BIN)/python tools/mutants.py

bench: setup
	$(BIN)/python -m granitetrestle_bench.bench

recovery: setup
	$(BIN)/python -m granitetrestle_bench.recovery

deciding: setup
	$(BIN)/python -m granitetrestle_bench.deciding

takeover: setup
	$(BIN)/python -m granitetrestle_bench.takeover

thinlinks: setup
	$(BIN)/python -m granitetrestle_bench.thinlinks
