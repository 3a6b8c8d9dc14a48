#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common-2"
exec timeout -k 5 115 python3 review/10/case.py
