# Every target first installs the package and its dependencies in $(VENV).
VENV ?= .venv
PYTHON ?= python3
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PYTEST_WORKERS ?= 4
# Seeds of `make soak`, separated by commas.
SEEDS ?= 1,2,3
SOAK_OPTIONS ?=
# Seeds of `make losses`, first and end.
LOSS_SEEDS ?= 0:100
export PYTHONPATH := $(CURDIR)

.PHONY: setup lint format test demo bench faults slopes check-model check-laws known-red soak losses crowds

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

setup: $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff format rhubarbreach platform

lint: $(STAMP)
	$(VENV)/bin/ruff format --check rhubarbreach platform
	$(VENV)/bin/ruff check rhubarbreach platform
	$(VENV)/bin/flake8 rhubarbreach platform
	$(PY) -m rhubarbreach.commands.importcheck rhubarbreach
	$(PY) -m rhubarbreach.commands.wordcheck rhubarbreach

test: $(STAMP)
	$(PY) -m pytest -n $(PYTEST_WORKERS) -m 'not crowd' rhubarbreach platform
	$(PY) -m pytest -m 'crowd and not by_hand' rhubarbreach platform

crowds: $(STAMP)
	$(PY) -m pytest -m crowd rhubarbreach platform

demo: $(STAMP)
	$(PY) -m rhubarbreach demo

bench: $(STAMP)
	$(PY) -m rhubarbreach bench

faults: $(STAMP)
	$(PY) -m rhubarbreach faults

soak: $(STAMP)
	$(PY) platform/rhubarbreach_platform/tests/soak.py --seeds $(SEEDS) $(SOAK_OPTIONS)

losses: $(STAMP)
	$(PY) -m rhubarbreach.bench.storelosses --seeds $(LOSS_SEEDS)

slopes: $(STAMP)
	$(PY) -m rhubarbreach slopes

check-model: $(STAMP)
	command -v spin > /dev/null || (apt-get update -qq && apt-get install -y -qq spin gcc)
	$(PY) -m rhubarbreach.bench.modelcheck model

check-laws: $(STAMP)
	$(PY) -m rhubarbreach.bench.mutations

known-red: $(STAMP)
	$(PY) -m rhubarbreach.bench.knownred KNOWN-RED.txt
