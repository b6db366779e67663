#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/*/script.ts --bundle --platform=node --format=cjs \
  --target=node20 --outdir=target/review --outbase=review --out-extension:.js=.cjs --log-level=warning
