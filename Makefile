PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo run test lint format bench model mutants binary generate clean

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m damaskdyke demo

run: $(STAMP)
	$(BIN)/python -m damaskdyke demo --keep

test: $(STAMP)
	$(BIN)/python -m tools.run_tests

lint: $(STAMP)
	$(BIN)/ruff check damaskdyke tests tools
	$(BIN)/ruff format --check damaskdyke tests tools

format: $(STAMP)
	$(BIN)/ruff check --fix damaskdyke tests tools
	$(BIN)/ruff format damaskdyke tests tools

bench: $(STAMP)
	$(BIN)/python -m damaskdyke.testbed.bench

model:
	$(PYTHON) -m tools.run_models

binary: $(STAMP)
	$(BIN)/python -m tools.build_binary

generate:
	$(PYTHON) -m tools.generate_thrift

clean:
	rm -rf build reports .ruff_cache .hypothesis

mutants: $(STAMP)
	$(BIN)/python -m tools.run_mutants
