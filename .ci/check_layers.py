#!/usr/bin/env python3
"""Checks the dependencies between the folders of src/core, as .ci/layers.conf states them.

1. A folder calls functions and includes headers only of itself and of the folders below it.
2. The fields of a part of `struct core` are used only in the folder that owns the part.

What still breaks a rule is listed in layers.conf by name, with a reason. A use that is not listed fails, and so
does an entry that is no longer needed, so the list can only get shorter. `--summary` prints the counts alone.
"""
import os
import re
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
CORE = os.path.join(ROOT, "src", "core")
COMMENT_OR_STRING = re.compile(r'/\*.*?\*/|"(?:\\.|[^"\\\n])*"', re.S)
PROTOTYPE = re.compile(r"^[A-Za-z_][\w\s\*]*?\b(\w+)\s*\([^;{]*\)\s*(?:__attribute__\s*\(.*\))?\s*;", re.M)
INLINE = re.compile(r"^static inline [\w\s\*]*?\b(\w+)\s*\(", re.M)
INCLUDE = re.compile(r'#include "core/(\w+)/(\w+\.h)"')


class Config:
    """The folders from the lowest to the highest, the owner of each part, and the exceptions."""

    def __init__(self, path):
        self.folders = []
        self.owners = {}
        self.exceptions = {}
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                self.read(line.partition("#")[0].split(), line.partition("#")[2].strip())

    def read(self, words, reason):
        if not words:
            return
        if words[0] == "folders":
            self.folders = words[1:]
        elif words[0] == "owner":
            for part in words[2:]:
                self.owners[part] = words[1]
        elif words[0] in ("call", "state", "include") and len(words) == 3 and reason:
            self.exceptions[tuple(words)] = reason
        else:
            sys.exit("layers.conf: can't read: " + " ".join(words) + " (an exception needs a reason)")

    def level(self, folder):
        return self.folders.index(folder) if folder in self.folders else len(self.folders)


def source_files():
    """Yields (folder, path below src/core, text) of each source; the folder of core.c itself is ''."""
    for directory, _, names in sorted(os.walk(CORE)):
        for name in sorted(names):
            if not name.endswith((".c", ".h")):
                continue
            path = os.path.relpath(os.path.join(directory, name), CORE)
            with open(os.path.join(directory, name), encoding="utf-8") as source:
                yield os.path.dirname(path), path, source.read()


def code_of(text):
    return COMMENT_OR_STRING.sub(lambda match: '""' if match.group(0)[0] == '"' else " ", text)


def function_owners(sources):
    owners = {}
    for folder, path, text in sources:
        if path.endswith(".h"):
            code = code_of(text)
            for name in PROTOTYPE.findall(code) + INLINE.findall(code):
                owners[name] = folder
    return owners


def violations(config, sources):
    """All uses that break a rule, as (kind, file, name)."""
    functions = function_owners(sources)
    found = set()
    for folder, path, text in sources:
        if not folder:
            continue
        for other, header in INCLUDE.findall(text):
            if config.level(other) > config.level(folder):
                found.add(("include", path, other + "/" + header))
        code = code_of(text)
        for name in set(re.findall(r"(?<!struct )\b\w+\b", code)):
            owner = functions.get(name)
            if owner is not None and config.level(owner) > config.level(folder):
                found.add(("call", path, name))
        for part in set(re.findall(r"\bcore->(\w+)", code)):
            if part in config.owners and config.owners[part] != folder:
                found.add(("state", path, part))
    return found


def main():
    config = Config(os.path.join(ROOT, ".ci", "layers.conf"))
    found = violations(config, list(source_files()))
    counts = {kind: sum(1 for use in found if use[0] == kind) for kind in ("call", "include", "state")}
    print("layers: {call} calls and {include} includes upward, {state} foreign uses of state, all listed"
          .format(**counts) if found == set(config.exceptions) else "layers: {}".format(counts))
    if "--summary" in sys.argv[1:]:
        return 0
    new = sorted(found - set(config.exceptions))
    needless = sorted(set(config.exceptions) - found)
    for use in new:
        print("not allowed:", *use)
    for use in needless:
        print("no longer needed in layers.conf:", *use)
    return 1 if new or needless else 0


if __name__ == "__main__":
    sys.exit(main())
