PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Names what the environment was made from. Contents decide, not dates: an
# environment may have been carried over from other sources or another machine.
STAMP := $(VENV)/.installed-$(shell { cat pyproject.toml requirements.lock; \
	$(PYTHON) -c 'import platform, sys; print(sys.version, platform.machine())'; \
	pwd; } | cksum | cut -d ' ' -f 1)

.PHONY: setup demo test check bench format generate

setup: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/bramleylug demo $(DEMO_FLAGS)

test: setup
	$(BIN)/python -m testing

check: setup
	$(BIN)/ruff format --check src testing examples
	$(BIN)/flake8 src testing examples
	$(BIN)/mypy
	$(BIN)/python -m testing

bench: setup
	$(BIN)/bramleylug bench all --report report

format: setup
	$(BIN)/ruff format src testing examples

generate: setup
	$(BIN)/python -m grpc_tools.protoc -I src --python_out=src --pyi_out=src --grpc_python_out=src src/bramleylug/wire/*.proto
