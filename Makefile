# The README's commands. Each installs what it needs, builds and runs.
BUILD ?= build
.PHONY: packages build test demo bench soak gateway-soak sanitize lint format

packages:
	@.ci/install

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure

demo: build
	python3 tools/demo.py --build $(BUILD)

bench: build
	python3 bench/run.py --build $(BUILD)

soak: build
	python3 tools/soak.py --build $(BUILD)

gateway-soak: build
	python3 tests/soak/soak.py --build $(BUILD) --seeds 50

# The decoders' tests, with mutated input, under the sanitizers.
sanitize: packages
	cmake -S . -B $(BUILD)/sanitize -G Ninja -DCAMPHORFIELD_ASAN=ON >/dev/null
	cmake --build $(BUILD)/sanitize --target decoder_test
	$(BUILD)/sanitize/tests/decoder_test

lint:
	.ci/lint $(BUILD)

format:
	git ls-files '*.cpp' '*.h' | grep -v '/gen/' | xargs clang-format -i
