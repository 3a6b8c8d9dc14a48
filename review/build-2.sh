#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: the proxy, by the build command
# of the deploy file, and the stand-ins, the project's own ones included. They are Python
# programs: the build compiles them and checks that they can be imported without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
sh -c "$build"
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common-2"
python3 -m compileall -q damaskdyke/testbed review/common-2
python3 -c 'import damaskdyke.testbed.deployment, damaskdyke.testbed.store, stands'
echo "review stand-ins built"
