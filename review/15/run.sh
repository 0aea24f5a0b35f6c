#!/usr/bin/env bash
cd "$(dirname "$0")" && . ../run-3.sh unreported
