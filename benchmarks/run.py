"""Runs the main benchmarks in under ten minutes (`make bench`)."""

import subprocess
import sys

_BENCHMARKS = (
    'shard_request',
    'decisions',
    'capacity',
    'control',
    'control_http',
)


def main() -> None:
    """Run each benchmark in its own process."""
    for name in _BENCHMARKS:
        print(f'\n== {name}', flush=True)
        command = [sys.executable, '-m', f'benchmarks.{name}']
        subprocess.run(command, check=True)


if __name__ == '__main__':
    main()
