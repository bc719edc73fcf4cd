PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup check test demo lock clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: setup
	$(BIN)/pytest

demo: setup
	$(BIN)/testbed demo

lock:
	$(BIN)/pip-compile -q --generate-hashes --no-emit-find-links --no-emit-index-url \
		--no-emit-trusted-host --strip-extras --allow-unsafe --all-extras \
		-o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) var
