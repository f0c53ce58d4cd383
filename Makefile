# VENV may name an existing environment, so that several checkouts can share one.
VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=$(CURDIR)/src $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: setup demo test lint format

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(RUN)/python -m berylmast_dev.demo

test: $(STAMP)
	$(RUN)/python -m pytest

lint: $(STAMP)
	$(RUN)/ruff format --check src
	$(RUN)/ruff check src
	$(RUN)/mypy

format: $(STAMP)
	$(RUN)/ruff format src
	$(RUN)/ruff check --fix src
