#!/usr/bin/env bash
# Generate agatetack/generated/ from thrift/*.thrift with compiler 0.17.
# The result is committed, so that neither install nor CI needs the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in thrift/*.thrift; do
  thrift --gen py:slots,package_prefix=agatetack.generated. \
    -out agatetack/generated "$schema"
done
find agatetack/generated -name '*-remote' -delete
printf '"""Hold code generated from `thrift/`; do not edit."""\n' \
  > agatetack/generated/__init__.py
