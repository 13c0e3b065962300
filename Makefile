VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

PARTS := 1 2 3 4 5 6 7 8 9

.PHONY: setup format lint check test test-crowds demo

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

# Each file of tests belongs to one part, by its name; the parts run at the same time. The tests of
# client crowds measure memory and run one at a time, before anything else uses the machine.
test: lint
	$(MAKE) --no-print-directory test-crowds
	$(MAKE) --no-print-directory --keep-going --jobs=$(words $(PARTS)) --output-sync=target \
		$(PARTS:%=test-part-%)

test-crowds: setup
	$(BIN)/python -m pytest -m crowd

test-part-%: setup
	$(BIN)/python -m pytest --part $*/$(words $(PARTS))

demo: setup
	$(BIN)/python -m pumicedeck demo
