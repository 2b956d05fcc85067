# Two commands a new user needs: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint scenarios format bench clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/rudderrock-demo

test: lint scenarios

lint: $(VENV)/.installed
	$(BIN)/ruff format --check rudderrock features
	$(BIN)/ruff check rudderrock features
	$(BIN)/flake8 rudderrock features

scenarios: $(VENV)/.installed
	$(BIN)/python -m features.run

format: $(VENV)/.installed
	$(BIN)/ruff format rudderrock features

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks.run

clean:
	rm -rf $(VENV) build *.egg-info
