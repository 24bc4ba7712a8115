#!/usr/bin/env python3
"""Checks that each identifier that the pages name in backticks exists in the sources.

An identifier is a backticked word with an underscore, of letters, digits and underscores. Pages of history (results,
incidents, roadmap) are left out, and so are table columns with the heading "before", which have the names of earlier
versions.
"""
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGES = ['README.md', 'CONTRIBUTING.md', 'tests/README.md', 'docs/architecture.md', 'docs/design.md',
         'docs/failure-model.md', 'docs/glossary.md', 'docs/operating.md']
CODE_SPAN = re.compile(r'`([^`]+)`')
IDENTIFIER = re.compile(r'(?<![\w/.-])[A-Za-z][A-Za-z0-9]*(?:_[A-Za-z0-9]+)+(?![\w*-])')


def source_words():
    paths = subprocess.run(['git', 'ls-files', 'src', 'daemon', 'proto', 'tests', 'deploy', '.ci', '*.txt'], cwd=ROOT,
                           check=True, capture_output=True, text=True).stdout.split()
    words = set()
    for path in paths:
        if path == 'tests/README.md':
            continue
        words.add(Path(path).stem)
        words.update(re.findall(r'\w+', (ROOT / path).read_text()))
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
    known = source_words()
    missing = 0
    for page in PAGES:
        for number, line in current_text((ROOT / page).read_text().splitlines()):
            for span in CODE_SPAN.findall(line):
                for word in IDENTIFIER.findall(span):
                    if word not in known:
                        print(f'{page}:{number}: {word} is not in the sources')
                        missing += 1
    sys.exit(1 if missing else 0)


if __name__ == '__main__':
    main()
