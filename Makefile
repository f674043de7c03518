PYTHON ?= python3
VENV := .venv

.PHONY: setup demo test lock regression

# Sites of the users' bench that a change of policy must not harm, below SITES.
REGRESSION := further/vermillon-lab further-grown/vermillon-lab-grown grown/psl-atl-grown \
	grown/hammerfield-prod-grown large/psl-atl-large shifted/psl-atl-now-grown

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

regression:
	@test -n "$(FLEETBENCH)" -a -n "$(SITES)" || { echo "FLEETBENCH=PROGRAM SITES=FOLDER"; exit 2; }
	for site in $(REGRESSION); do \
		$(FLEETBENCH) score $(SITES)/$$site.toml --jobs 2 --why "regression" || exit 1; done

lock:
	uv pip compile --quiet --universal --python-version 3.11 --generate-hashes --no-emit-index-url \
		--all-extras --custom-compile-command "make lock" -o requirements.lock pyproject.toml
