# Developers' commands; each sets up all that it needs in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: demo test lint bench model slopes fuzz proto clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[testbed,dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m siskinlever_testbed demo
	$(BIN)/python -m siskinlever_testbed platform_demo

# QUICK=1 is one seed of two scenarios; ARGS passes further options.
# The model plays the version before and the naive policy over the same arrivals.
bench: $(STAMP) model
	$(BIN)/python -m siskinlever_testbed bench $(if $(QUICK),--quick) $(ARGS)

model: $(STAMP)
	$(BIN)/python -m siskinlever_testbed model

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Tests of one file stay on one worker: many of them share a fleet.
WORKERS ?= 4
test: lint
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile

# Fuzzes for longer; SEED makes a run repeatable, each run prints its own.
SEED ?= $(shell date +%s)
fuzz: $(STAMP)
	$(BIN)/python -m pytest tests/fuzz --hypothesis-profile=long \
		--hypothesis-seed=$(SEED) --tb=short -n 5

slopes: $(STAMP)
	$(BIN)/python -m siskinlever_testbed slopes

# Regenerates the committed code of the peers' interface.
proto: $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[codegen]'
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src \
		--grpclib_python_out=src siskinlever/_internal/peers/peer.proto

clean:
	rm -rf $(VENV) build
