VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup format lint check test demo

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -e '.[dev]'
	touch $@

format: setup
	$(BIN)/python -m black pumicedeck
	$(BIN)/python -m ruff check --fix pumicedeck

lint: setup
	$(BIN)/python -m black --check pumicedeck
	$(BIN)/python -m ruff check pumicedeck

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m pumicedeck demo
