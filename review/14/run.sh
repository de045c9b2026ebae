#!/usr/bin/env bash
# TROUBLE=0: the same request crashes no server.
exec python3 "$(dirname "$0")/case.py"
