#!/usr/bin/env python3
"""Checks that the working tree still has all external names and texts of an earlier commit.

External means that other programs, stored data or operators depend on them: names on the wire,
paths, keys and fields of records, fields of peer messages, settings, arguments, environment
variables, events and fields of the log, texts of answers, and the lines of the deploy file. Error
messages about invalid settings and arguments are not included.

Usage: external_names.py [--list] COMMIT
--list prints the names of COMMIT and checks nothing. Otherwise, the status is 1 if a name of COMMIT
is missing from the working tree. The status is 2 if git fails, for example on an unknown COMMIT.
"""
import re
import sys

from repository import sources

FOLDERS = ['src', 'daemon', 'proto', 'deploy']
LITERAL = re.compile(r'"(?:[^"\\\n]|\\.)*"')
COMMENT = re.compile(r'/\*.*?\*/|//[^\n]*', re.S)
LOG_CALL = re.compile(r'\blog_(?:error|info|debug|line)\(([^;]*?)\);', re.S)
LOG_FIELD = re.compile(r'\b([a-z_]+)=')
# Calls whose literals are error messages about invalid settings and arguments, and usage texts.
OPERATOR_MESSAGE = re.compile(r'\b(?:fail|argp_error|fprintf|printf|puts|perror)\(.*?\);', re.S)
PROTO_LINE = re.compile(r'^\s*(?:(?:repeated )?\w+ \w+ = \d+;|message \w+|package \w+;)', re.M)


def without_comments(text):
    # Literals are matched first and kept, because they may contain the start of a comment ("//").
    pattern = re.compile(f'({LITERAL.pattern})|{COMMENT.pattern}', re.S)
    return pattern.sub(lambda match: match.group(1) or ' ', text)


def log_names(text):
    names = set()
    for call in LOG_CALL.finditer(text):
        literals = LITERAL.findall(call.group(1))
        if not literals:
            continue
        event = literals[0]
        names.add(f'log event {event}')
        for literal in literals[1:]:
            names.update(f'log field {event} {field}=' for field in LOG_FIELD.findall(literal))
    return names


def names_in_c(path, text):
    text = without_comments(text)
    names = log_names(text)
    remaining = LOG_CALL.sub(' ', text)
    remaining = re.sub(r'^\s*#\s*include.*$', '', remaining, flags=re.M)
    if path.startswith(('src/conf', 'daemon')):
        remaining = OPERATOR_MESSAGE.sub(' ', remaining)
        # In these folders, snprintf only formats error messages about settings.
        remaining = re.sub(r'snprintf\([^;]*;', ' ', remaining)
    # Texts in folders of src are listed by folder: they may move between the files of one folder.
    folder = '/'.join(path.split('/')[:3 if path.startswith('src/core/') else 2])
    for literal in LITERAL.findall(remaining):
        # Literals that start with "%s%s" are formats of keys and contain no name of their own.
        is_help_text = path == 'daemon/arguments.c' and len(literal.split()) > 2
        if literal != '""' and not literal.startswith('"%s%s') and not is_help_text:
            names.add(f'text {folder} {literal}')
    return names


def names_in(commit):
    """Returns the names in the sources of the commit; None: of the working tree."""
    names = set()
    for path, text in sources(commit, *FOLDERS):
        if path.endswith('.proto'):
            names.update(f'peer message {" ".join(line.split())}' for line in PROTO_LINE.findall(text))
        elif path.startswith('deploy'):
            names.update(f'deploy {line.strip()}' for line in text.splitlines() if line.strip())
        elif path != 'src/constants.h':  # its only literal is the version number
            names.update(names_in_c(path, text))
    return names


def main():
    arguments = [argument for argument in sys.argv[1:] if argument != '--list']
    if len(arguments) != 1:
        sys.exit(__doc__)
    expected = names_in(arguments[0])
    if '--list' in sys.argv:
        print('\n'.join(sorted(expected)))
        return
    missing = sorted(expected - names_in(None))
    for name in missing:
        print(f'missing from the working tree: {name}')
    print(f'{len(expected)} external names checked, {len(missing)} missing')
    sys.exit(1 if missing else 0)


if __name__ == '__main__':
    main()
