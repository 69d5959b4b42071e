PYTHON ?= python3
BIN := .venv/bin
DEPLOYMENT ?= pollenwacht
SOURCES := balsamdale standins harness tests

SEEDS ?= 100
# Commit of the older build in `make upgrade`.
FROM ?= b317cd5
# Seed of the callers in `make upgrade`.
SEED ?= 0
# First seed of `make soak`.
FIRST ?= 0

.PHONY: setup test lint format demo prove measure bench upgrade frames golden
.PHONY: clean costs soak

setup: .venv/ready

.venv/ready: requirements.txt requirements-dev.txt pyproject.toml
	@echo "setting up .venv with the pinned dependencies"
	@$(PYTHON) -m venv .venv
	@$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	@$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	@touch $@

lint: setup
	@$(BIN)/ruff format --check --quiet $(SOURCES)
	@$(BIN)/flake8 $(SOURCES)

format: setup
	@$(BIN)/ruff format --quiet $(SOURCES)

test: lint
	@PYTHONHASHSEED=0 $(BIN)/python -m pytest

demo: setup
	@$(BIN)/python -m harness.demo --deployment $(DEPLOYMENT)

prove: setup
	@$(BIN)/python -m harness.prove --seeds $(SEEDS)

measure: setup
	@$(BIN)/python -m harness.measure

bench: setup
	@$(BIN)/python -m harness.bench

upgrade: setup
	@$(BIN)/python -m harness.upgrade --from $(FROM) --seed $(SEED)

soak: setup
	@$(BIN)/python -m harness.soak --seeds $(SEEDS) --first $(FIRST)

costs: setup
	@$(BIN)/python -m harness.costs --commit $(FROM) --commit HEAD

frames: setup
	@$(BIN)/python -m harness.frames

golden: setup
	@PYTHONHASHSEED=0 $(BIN)/python -m pytest tests/test_golden.py --golden

clean:
	rm -rf .venv build *.egg-info
