#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into build/.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/release/tests/standins/standin_store
mkdir -p build/review-3
cc -std=gnu11 -O2 -Wall -Wextra -pthread -o build/review-3/rig review/rig-3/rig.c
