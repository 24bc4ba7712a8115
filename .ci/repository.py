"""Access to the sources of the repository, for the scripts in this folder."""
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def git(*arguments):
    """Returns the output of git. If git fails, prints its message and exits with status 2."""
    process = subprocess.run(['git', *arguments], cwd=ROOT, capture_output=True, text=True)
    if process.returncode != 0:
        print(process.stderr, end='', file=sys.stderr)
        sys.exit(2)
    return process.stdout


def sources(commit, *paths):
    """Yields the path and the text of each file below `paths`, in the commit; None: in the working tree."""
    if commit:
        for path in git('ls-tree', '-r', '--name-only', commit, *paths).split():
            yield path, git('show', f'{commit}:{path}')
    else:
        for path in git('ls-files', *paths).split():
            if (ROOT / path).exists():
                yield path, (ROOT / path).read_text()
