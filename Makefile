PYTHON ?= python3
VENV := .venv

.PHONY: setup demo test lock

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --quiet --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --quiet --no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(VENV)/bin/bellweir rehearse demo $(ARGS)

test: setup
	$(VENV)/bin/python -m behave --format progress3

lock:
	uv pip compile --quiet --universal --python-version 3.11 --generate-hashes --no-emit-index-url \
		--all-extras --custom-compile-command "make lock" -o requirements.lock pyproject.toml
