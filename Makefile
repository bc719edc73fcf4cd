PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
UNIT_WORKERS ?= 7
FLEET_WORKERS ?= 2
FEATURE_WORKERS ?= 3
# The simulator's histories depend on it: a seed that fails can be played again only with the same.
HASH_SEED := $(or $(HASH_SEED),$(shell $(PYTHON) -c 'import random; print(random.randrange(2**32))'))

.PHONY: setup check test demo lock clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	@echo "Making $(VENV) and installing the locked packages into it (a minute or two) ..."
	@$(PYTHON) -m venv $(VENV)
	@# Twice quiet: errors alone are told, not warnings on how this machine's pip is set up.
	@$(BIN)/pip install -qq --require-hashes -r requirements.lock
	@$(BIN)/pip install -qq --no-deps --no-build-isolation -e .
	@echo "Done: $(BIN)/leverjunction, $(BIN)/testbed"
	@touch $(STAMP)

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Tests of real processes have room of their own: their bounds judge the product, not the machine.
# Features go a file at a time. All parts run, also after one that fails.
test: setup
	@echo "PYTHONHASHSEED=$(HASH_SEED)"
	@export PYTHONHASHSEED=$(HASH_SEED); failed=; \
	$(BIN)/pytest -n $(UNIT_WORKERS) --dist worksteal -m "not fleet" tests/unit || failed=1; \
	$(BIN)/pytest -n $(FLEET_WORKERS) --dist worksteal -m fleet tests/unit || failed=1; \
	$(BIN)/pytest -n $(FEATURE_WORKERS) --dist loadfile tests/features || failed=1; \
	test -z "$$failed"

demo: setup
	$(BIN)/testbed demo

lock:
	$(BIN)/pip-compile -q --generate-hashes --no-emit-find-links --no-emit-index-url \
		--no-emit-trusted-host --strip-extras --allow-unsafe --all-extras \
		-o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) var
