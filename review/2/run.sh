#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=. exec .venv/bin/python review/2/case.py
