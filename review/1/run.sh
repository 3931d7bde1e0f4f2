#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=. exec .venv/bin/python review/1/case.py
