#!/usr/bin/env python3
"""Checks that the dependencies between the folders of src/core follow .ci/layers.conf.

1. A folder includes headers, and uses functions declared in headers, only of itself and of the
   folders below it.
2. Only the folder that owns a field of `struct core` accesses it (as core->FIELD).

The files directly in src/core are not checked. layers.conf may list exceptions, one a line:
`KIND FILE NAME # REASON`. KIND is `include` (NAME: FOLDER/HEADER), `call` (NAME: the function) or
`state` (NAME: the field), and FILE is relative to src/core. The check fails on a violation that is
not listed, and also on an exception without a violation, so the list cannot keep obsolete entries.

Usage: check_layers.py [--summary]
--summary prints only the number of violations of each kind and always exits with status 0.
Otherwise, the status is 1 if the check fails.
"""
import os
import re
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
CORE = os.path.join(ROOT, "src", "core")
COMMENT_OR_STRING = re.compile(r'/\*.*?\*/|"(?:\\.|[^"\\\n])*"', re.S)
PROTOTYPE = re.compile(r"^[A-Za-z_][\w\s\*]*?\b(\w+)\s*\([^;{]*\)\s*(?:__attribute__\s*\(.*\))?\s*;", re.M)
INLINE_FUNCTION = re.compile(r"^static inline [\w\s\*]*?\b(\w+)\s*\(", re.M)
INCLUDE = re.compile(r'#include "core/(\w+)/(\w+\.h)"')
VIOLATION_MESSAGES = {
    "call": "use of {}(), a function of a higher folder",
    "include": 'include of "core/{}", a header of a higher folder',
    "state": "access to core->{}, which another folder owns",
}


class Config:
    """The folders from the lowest to the highest, the owner of each field, and the exceptions."""

    def __init__(self, path):
        self.folders = []
        self.owners = {}
        self.exceptions = {}  # line number in layers.conf by (kind, file, name)
        with open(path, encoding="utf-8") as lines:
            for number, line in enumerate(lines, 1):
                self.parse_line(number, line.partition("#")[0].split(), line.partition("#")[2].strip())

    def parse_line(self, number, words, comment):
        if not words:
            return
        if words[0] == "folders":
            self.folders = words[1:]
        elif words[0] == "owner":
            for field in words[2:]:
                self.owners[field] = words[1]
        elif words[0] in VIOLATION_MESSAGES and len(words) == 3 and comment:
            self.exceptions[tuple(words)] = number
        else:
            sys.exit('.ci/layers.conf:{}: invalid line "{}": expected "folders FOLDER...", "owner FOLDER FIELD..." '
                     'or "call|include|state FILE NAME # REASON"'.format(number, " ".join(words)))

    def level(self, folder):
        """Returns the position of a folder; src/core itself and unlisted folders are above all."""
        return self.folders.index(folder) if folder in self.folders else len(self.folders)


def source_files():
    """Yields (folder, path relative to src/core, text) of each source.

    The folder of the files directly in src/core is ''.
    """
    for directory, _, names in sorted(os.walk(CORE)):
        for name in sorted(names):
            if not name.endswith((".c", ".h")):
                continue
            path = os.path.relpath(os.path.join(directory, name), CORE)
            with open(os.path.join(directory, name), encoding="utf-8") as source:
                yield os.path.dirname(path), path, source.read()


def strip_comments_and_strings(text):
    """Blanks comments and string literals. Line breaks in comments stay, for the line numbers."""
    return COMMENT_OR_STRING.sub(
        lambda match: '""' if match.group(0)[0] == '"' else "\n" * match.group(0).count("\n") + " ", text)


def function_owners(sources):
    """Returns the folder of each function that a header declares, by the function's name."""
    owners = {}
    for folder, path, text in sources:
        if path.endswith(".h"):
            code = strip_comments_and_strings(text)
            for name in PROTOTYPE.findall(code) + INLINE_FUNCTION.findall(code):
                owners[name] = folder
    return owners


def violations(config, sources):
    """Returns the line of the first occurrence of each violation, by (kind, file, name)."""
    functions = function_owners(sources)
    found = {}
    for folder, path, text in sources:
        if not folder:
            continue
        for match in INCLUDE.finditer(text):
            if config.level(match.group(1)) > config.level(folder):
                found.setdefault(("include", path, match.group(1) + "/" + match.group(2)), line_of(text, match))
        code = strip_comments_and_strings(text)
        for match in re.finditer(r"(?<!struct )\b\w+\b", code):
            owner = functions.get(match.group(0))
            if owner is not None and config.level(owner) > config.level(folder):
                found.setdefault(("call", path, match.group(0)), line_of(code, match))
        for match in re.finditer(r"\bcore->(\w+)", code):
            field = match.group(1)
            if field in config.owners and config.owners[field] != folder:
                found.setdefault(("state", path, field), line_of(code, match))
    return found


def line_of(text, match):
    return text.count("\n", 0, match.start()) + 1


def main():
    config = Config(os.path.join(ROOT, ".ci", "layers.conf"))
    found = violations(config, list(source_files()))
    counts = {kind: sum(1 for violation in found if violation[0] == kind) for kind in VIOLATION_MESSAGES}
    print("layers: {call} calls and {include} includes of higher folders, {state} accesses to fields of other "
          "folders; the exceptions in .ci/layers.conf".format(**counts),
          "match" if found.keys() == config.exceptions.keys() else "do not match")
    if "--summary" in sys.argv[1:]:
        return 0
    unlisted = sorted(found.keys() - config.exceptions.keys())
    obsolete = sorted(config.exceptions.keys() - found.keys())
    for kind, path, name in unlisted:
        print("src/core/{}:{}: {}".format(path, found[kind, path, name], VIOLATION_MESSAGES[kind].format(name)))
    for exception in obsolete:
        print('.ci/layers.conf:{}: the exception "{}" matches no violation; remove it'
              .format(config.exceptions[exception], " ".join(exception)))
    return 1 if unlisted or obsolete else 0


if __name__ == "__main__":
    sys.exit(main())
