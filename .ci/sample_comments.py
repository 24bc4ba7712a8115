#!/usr/bin/env python3
"""Prints a random sample of the comments in src without the code around them.

A reviewer uses the sample to judge whether comments can be understood on their own. The same SEED
and sources give the same COUNT comments. With COMMIT, the sources are those of that commit instead
of the working tree. The status is 2 if git fails, for example on an unknown COMMIT.

Usage: sample_comments.py SEED COUNT [COMMIT]
"""
import random
import re
import sys

from repository import sources

# Matches string and character literals too, so that comment marks inside them do not start a
# comment. Only comments fill the group.
LITERAL_OR_COMMENT = re.compile(r'"(?:[^"\\\n]|\\.)*"|\'(?:[^\'\\\n]|\\.)+\'|(/\*.*?\*/|//[^\n]*)', re.S)


def plain_text(comment):
    """Returns the text of a comment on one line, without comment marks."""
    lines = (re.sub(r'^\s*(/\*+|\*/|\*|//)?\s?', '', line) for line in comment.splitlines())
    return ' '.join(' '.join(lines).replace('*/', ' ').split())


def comments(commit):
    for path, text in sources(commit, 'src'):
        for match in LITERAL_OR_COMMENT.finditer(text):
            if match.group(1) and plain_text(match.group(1)):
                line = text.count('\n', 0, match.start()) + 1
                yield f'{path}:{line}: {plain_text(match.group(1))}'


def main():
    if len(sys.argv) not in (3, 4):
        sys.exit(__doc__)
    all_comments = list(comments(sys.argv[3] if len(sys.argv) == 4 else None))
    sample = random.Random(int(sys.argv[1])).sample(all_comments, int(sys.argv[2]))
    print('\n'.join(sorted(sample)))


if __name__ == '__main__':
    main()
