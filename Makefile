# Each target works from an empty machine with python3, make and git.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
NAME ?= overhead
ARGUMENTS ?=
# The tests wait most of the time.
WORKERS ?= 8

.PHONY: bench clean demo format lint lock names test test-alone

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/celeryspan demo
	$(VENV)/bin/celeryspan demo-platform

test: $(STAMP)
	$(PYTHON) -m pytest --numprocesses $(WORKERS) --dist worksteal

# Tests that load processes of their own; one at a time, apart from other load.
test-alone: $(STAMP)
	$(PYTHON) -m pytest -m alone

lint: $(STAMP)
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .

format: $(STAMP)
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

# Lists uses of names that are not defined; compare it before and after a rename.
names: $(STAMP)
	$(PYTHON) -m mypy celeryspan standins bench tests

bench: $(STAMP)
	$(PYTHON) -m bench $(NAME) $(ARGUMENTS)

lock:
	$(PYTHON) -m pip freeze --exclude-editable | LC_ALL=C sort -f > constraints.txt

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache build *.egg-info
