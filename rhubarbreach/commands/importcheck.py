"""Lint check of imports: modules only, and only from lower layers."""

import ast
import pathlib
import sys

__all__ = ['LAYERS', 'check_file', 'main']

# A package may import only from itself and from the packages before it.
LAYERS = (
    'exceptions',
    'codes',
    'serialization',
    'clock',
    'eventlog',
    'rendezvous',
    'version',
    'protocol',
    'settings',
    'observe',
    'storage',
    'consensus',
    'state',
    'catalog',
    'balancing',
    'web',
    'fleet',
    'streams',
    'backlog',
    'gateway',
    'hosts',
    'membership',
    'distribution',
    'limits',
    'scheduling',
    'routing',
    'placement',
    'dispatch',
    'entry',
    'configcheck',
    'batch',
    'orders',
    'operators',
    'daemon',
    'emulator',
    'bench',
    'commands',
    '__main__',
)
PACKAGE = 'rhubarbreach'


def check_file(path, root):
    """Return the faults of one file, one line each.

    Parameters
    ----------
    path : pathlib.Path
        Python file.
    root : pathlib.Path
        Folder of the package.

    Returns
    -------
    list of str
        Faults, each with the path of the file.
    """
    faults = []
    own_layer = path.relative_to(root).parts[0].removesuffix('.py')
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        parts = (node.module or '').split('.')
        if parts[0] != PACKAGE:
            continue
        for name in node.names:
            faults.extend(
                check_import(path, root, own_layer, parts, name.name)
            )
    return [f'{path}:{fault}' for fault in faults]


def check_import(path, root, own_layer, parts, name):
    """Return the faults of importing one name."""
    target = root.joinpath(*parts[1:], name)
    if not target.is_dir() and not target.with_suffix('.py').exists():
        return [f' {name} from {".".join(parts)} is not a module']
    layer = parts[1] if len(parts) > 1 else name
    if own_layer not in LAYERS or 'tests' in path.parts:
        return []
    if LAYERS.index(layer) > LAYERS.index(own_layer):
        return [f' {own_layer} imports from the later package {layer}']
    return []


def main():
    """Check a package and exit with status 1 if there are faults."""
    root = pathlib.Path(sys.argv[1]).resolve()
    faults = []
    for path in sorted(root.rglob('*.py')):
        faults.extend(check_file(path, root))
    for fault in faults:
        sys.stdout.write(f'{fault}\n')
    sys.exit(1 if faults else 0)


if __name__ == '__main__':
    main()
