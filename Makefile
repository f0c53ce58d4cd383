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
	$(RUN)/python -m berylmast_dev.platform_demo

test: $(STAMP)
	$(RUN)/python -m pytest
	$(RUN)/behave --no-capture --format progress features

lint: $(STAMP)
	$(RUN)/ruff format --check src features
	$(RUN)/ruff check src features
	$(RUN)/mypy

format: $(STAMP)
	$(RUN)/ruff format src features
	$(RUN)/ruff check --fix src features
