#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=. exec .venv/bin/python review/3/case.py
