#!/usr/bin/env python3
"""Prints a digest of the code and data of each object file of a build, for compare_object_code.sh.

The digest covers the contents of all sections that are loaded, and their relocations: which function
or variable each call or reference is bound to. A symbol that the build defines is identified by its
object file, its section and its position among the symbols there, so a changed name does not change
a digest. Symbols of other libraries are identified by name.

Usage: object_code.py BUILD_DIR
"""
import hashlib
import re
import subprocess
import sys
from pathlib import Path

SECTION = re.compile(r'^\s*\[\s*(\d+)\] (\S+)\s+(\S+)\s+[0-9a-f]+ [0-9a-f]+ [0-9a-f]+ [0-9a-f]+\s+([A-Zxop]*)')
SYMBOL = re.compile(r'^\s*\d+: ([0-9a-f]+)\s+\d+ (\w+)\s+(\w+)\s+\w+\s+(\d+|UND|ABS|COM) ?(\S*)$')
RELOCATION = re.compile(r'^([0-9a-f]+)\s+[0-9a-f]+ (\S+)\s+(?:[0-9a-f]+ (\S+))?(.*)$')


def readelf(option, path):
    return subprocess.run(['readelf', option, '-W', path], check=True, capture_output=True, text=True).stdout


def loaded_sections(path):
    """Returns the sections that are loaded when the program runs: by index, the name and whether it has contents."""
    matches = (SECTION.match(line) for line in readelf('-S', path).splitlines())
    return {match.group(1): (match.group(2), match.group(3) != 'NOBITS')
            for match in matches if match and 'A' in match.group(4)}


def symbols(path, object_file):
    """Returns the identity of each symbol that an object file defines, by name; local and global ones apart."""
    sections = loaded_sections(path)
    found = {}  # (offset, name) of the symbols, by section and binding
    for line in readelf('-s', path).splitlines():
        match = SYMBOL.match(line)
        if match and match.group(4) in sections and match.group(2) not in ('FILE', 'SECTION'):
            offset, _, binding, section, name = match.groups()
            found.setdefault((sections[section][0], binding == 'LOCAL'), []).append((int(offset, 16), name))
    local_symbols, global_symbols = {}, {}
    for (section, is_local), entries in found.items():
        positions = {offset: position for position, offset in enumerate(sorted({entry[0] for entry in entries}))}
        for offset, name in entries:
            identity = f'{object_file}:{section}:{positions[offset]}'
            (local_symbols if is_local else global_symbols)[name] = f'{identity}:{"local" if is_local else "global"}'
    return local_symbols, global_symbols


def relocations(path, section_names, resolve):
    """Yields the relocations of the loaded sections, with resolved symbols."""
    section = None
    for line in readelf('-r', path).splitlines():
        if line.startswith('Relocation section'):
            section = line.split("'")[1].replace('.rela', '', 1)
        match = RELOCATION.match(line)
        if match and section in section_names:
            name = line.split()[4] if len(line.split()) > 4 else ''
            yield section, match.group(1), match.group(2), resolve(name), ' '.join(line.split()[5:])


def digest(build, object_file, definitions):
    path = str(build / object_file)
    sections = loaded_sections(path).values()
    names = {name for name, _ in sections}
    local, _ = symbols(path, object_file)
    content = hashlib.sha256()
    for name, has_contents in sections:
        if has_contents:
            dump = subprocess.run(['objdump', '-s', '-j', name, path], capture_output=True, text=True).stdout
            content.update(dump.partition('Contents of')[2].encode())
    for relocation in relocations(path, names, lambda name: local.get(name, definitions.get(name, name))):
        content.update(repr(relocation).encode())
    return content.hexdigest()


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    build = Path(sys.argv[1])
    object_files = sorted(str(path.relative_to(build)) for path in (build / 'CMakeFiles').rglob('*.o'))
    definitions = {}
    for object_file in object_files:
        _, global_symbols = symbols(str(build / object_file), object_file)
        definitions.update(global_symbols)
    for object_file in object_files:
        print(digest(build, object_file, definitions), object_file)


if __name__ == '__main__':
    main()
