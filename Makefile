# The README's commands. Everything runs from .venv, made from the lock.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: install demo up test lint bench capacity

install: .venv/installed

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/installed

demo: install
	$(BIN)/sesamecross-demo demo

up: install
	$(BIN)/sesamecross-demo up

test: install
	$(BIN)/python -m pytest $(TEST_FLAGS)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: install
	$(BIN)/sesamecross-relay-bench

capacity: install
	$(BIN)/sesamecross-capacity
