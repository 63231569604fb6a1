# The everyday tasks; each is what README.md says, in one word.
.PHONY: build test lint format run check clean

build:  ## the gateway and the simulator's adapter, as deployed
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:  ## all tests, debug build with warnings as errors
	cmake --preset test
	cmake --build --preset test -j4
	ctest --preset test -j4

lint: build  ## format and clang-tidy
	find src tests -name '*.cpp' -o -name '*.h' | sort | xargs clang-format --dry-run --Werror
	find src -name '*.cpp' | sort | xargs -P 4 -n 1 clang-tidy --quiet -p build

format:  ## put the format right
	find src tests -name '*.cpp' -o -name '*.h' | xargs clang-format -i

run: build  ## one gateway; needs LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG
	build/paddlestile

check:  ## all that a landing has to pass
	.ci/run

clean:
	rm -rf build build-test build-sanitize
