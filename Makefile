PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
UNIT_WORKERS ?= 7
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

# Unit tests side by side one by one, features (whole fleets) a file at a time.
test: setup
	@echo "PYTHONHASHSEED=$(HASH_SEED)"
	PYTHONHASHSEED=$(HASH_SEED) $(BIN)/pytest -n $(UNIT_WORKERS) --dist worksteal tests/unit
	PYTHONHASHSEED=$(HASH_SEED) $(BIN)/pytest -n $(FEATURE_WORKERS) --dist loadfile tests/features

demo: setup
	$(BIN)/testbed demo

lock:
	$(BIN)/pip-compile -q --generate-hashes --no-emit-find-links --no-emit-index-url \
		--no-emit-trusted-host --strip-extras --allow-unsafe --all-extras \
		-o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) var
