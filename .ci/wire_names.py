#!/usr/bin/env python3
"""Checks that the platform's names on the wire stand in platform/ alone.

Takes each name that platform/ spells with a dash, a dot or as a header field,
and looks for it as a literal in all other sources of the product.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAME = re.compile(r'"([A-Za-z]+(?:[-.][A-Za-z]+)+)"')
# Standard HTTP, which the product's own interfaces speak, too.
COMMON = {"Content-Type", "Content-Length", "Retry-After", "Keep-Alive",
          "Content-Encoding", "Transfer-Encoding", "Proxy-Connection",
          "Proxy-Authenticate", "Proxy-Authorization"}


def literals(folder):
    """Names in the sources of a folder: name, file."""
    for path in sorted((ROOT / folder).rglob("*")):
        if path.suffix in (".cpp", ".h"):
            for line in path.read_text(encoding="utf-8").splitlines():
                if not line.startswith("#include"):
                    for name in NAME.findall(line):
                        yield name, path.relative_to(ROOT)


def main():
    """Prints each name that has left its folder."""
    wire = {name for name, _ in literals("platform")} - COMMON
    found = [(name, path) for name, path in literals("src") if name in wire]
    for name, path in found:
        print(f"{path}: {name} is a name of the platform's wire")
    if not wire:
        print("no names found in platform/")
    return 1 if found or not wire else 0


if __name__ == "__main__":
    sys.exit(main())
