#!/usr/bin/env python3
"""Print, for each source given, a key of all that its lint depends on.

The key covers the source, the project's headers that it includes, directly or
not, and the linter's settings.
"""
import hashlib
import os
import re
import sys

INCLUDE = re.compile(rb'^\s*#include "([^"]+)"', re.MULTILINE)
ROOTS = ["src", "platform", "tests", "bench", "src/peer/gen"]
SETTINGS = [".clang-tidy", "CMakeLists.txt", "tests/CMakeLists.txt"]


def find(name, source):
    """Path of an included header of the project, or None."""
    for root in [os.path.dirname(source), *ROOTS]:
        path = os.path.normpath(os.path.join(root, name))
        if os.path.isfile(path):
            return path
    return None


def closure(source):
    """The source and the headers that it includes, in order of name."""
    found, todo = set(), [source]
    while todo:
        path = todo.pop()
        if path in found:
            continue
        found.add(path)
        with open(path, "rb") as text:
            names = INCLUDE.findall(text.read())
        todo += filter(None, (find(name.decode(), path) for name in names))
    return sorted(found)


for argument in sys.argv[1:]:
    key = hashlib.sha256()
    for path in SETTINGS + closure(argument):
        key.update(path.encode())
        with open(path, "rb") as text:
            key.update(text.read())
    print(key.hexdigest(), argument)
