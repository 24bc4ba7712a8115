#!/usr/bin/env python3
"""Checks that the sources contain each identifier that the documentation has in backticks.

A word in backticks counts as an identifier if it starts with a letter, consists of letters, digits
and underscores, and has an underscore inside. Parts of paths, of options and of wildcard patterns do
not count. Pages about the past (results, incidents, roadmap) are not checked, nor are table columns
with the heading "before": they contain names of earlier versions.

The status is 1 if an identifier is missing from the sources.
"""
import re
import sys
from pathlib import Path

from repository import ROOT, sources

PAGES = ['README.md', 'CONTRIBUTING.md', 'tests/README.md', 'docs/architecture.md', 'docs/design.md',
         'docs/failure-model.md', 'docs/glossary.md', 'docs/operating.md']
CODE_SPAN = re.compile(r'`([^`]+)`')
IDENTIFIER = re.compile(r'(?<![\w/.-])[A-Za-z][A-Za-z0-9]*(?:_[A-Za-z0-9]+)+(?![\w*-])')


def source_words():
    """Returns all words in the sources, and the names of the source files without suffix."""
    words = set()
    for path, text in sources(None, 'src', 'daemon', 'proto', 'tests', 'deploy', '.ci', '*.txt'):
        if path != 'tests/README.md':
            words.add(Path(path).stem)
            words.update(re.findall(r'\w+', text))
    return words


def current_text(lines):
    """Yields each line's number and text without the cells of columns headed "before"."""
    header = None
    for number, line in enumerate(lines, 1):
        if not line.startswith('|'):
            header = None
            yield number, line
            continue
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        header = header or cells
        kept = [cell for title, cell in zip(header, cells) if title != 'before']
        yield number, ' | '.join(kept)


def main():
    words_in_sources = source_words()
    missing = 0
    for page in PAGES:
        for number, line in current_text((ROOT / page).read_text().splitlines()):
            for span in CODE_SPAN.findall(line):
                for word in IDENTIFIER.findall(span):
                    if word not in words_in_sources:
                        print(f'{page}:{number}: identifier {word} is not in the sources')
                        missing += 1
    sys.exit(1 if missing else 0)


if __name__ == '__main__':
    main()
