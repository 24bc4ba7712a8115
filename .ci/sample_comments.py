#!/usr/bin/env python3
"""Prints COUNT comments of src drawn at random with SEED, without their code, to be read on their own.

Usage: sample_comments.py SEED COUNT [COMMIT]     COMMIT: its sources instead of the working tree's
"""
import random
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TOKEN = re.compile(r'"(?:[^"\\\n]|\\.)*"|\'(?:[^\'\\\n]|\\.)+\'|(/\*.*?\*/|//[^\n]*)', re.S)


def git(*arguments):
    return subprocess.run(['git', *arguments], cwd=ROOT, check=True, capture_output=True, text=True).stdout


def sources(commit):
    if commit:
        for path in git('ls-tree', '-r', '--name-only', commit, 'src').split():
            yield path, git('show', f'{commit}:{path}')
    else:
        for path in git('ls-files', 'src').split():
            yield path, (ROOT / path).read_text()


def plain_text(comment):
    lines = (re.sub(r'^\s*(/\*+|\*/|\*|//)?\s?', '', line) for line in comment.splitlines())
    return ' '.join(' '.join(lines).replace('*/', ' ').split())


def comments(commit):
    for path, text in sources(commit):
        for match in TOKEN.finditer(text):
            if match.group(1) and plain_text(match.group(1)):
                line = text.count('\n', 0, match.start()) + 1
                yield f'{path}:{line}: {plain_text(match.group(1))}'


def main():
    if len(sys.argv) not in (3, 4):
        sys.exit(__doc__)
    every = list(comments(sys.argv[3] if len(sys.argv) == 4 else None))
    drawn = random.Random(int(sys.argv[1])).sample(every, int(sys.argv[2]))
    print('\n'.join(sorted(drawn)))


if __name__ == '__main__':
    main()
