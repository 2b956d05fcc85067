"""Run scenarios and print the numbers of passed and failed ones.

The exit code is 1 if a scenario failed or none was run. Failures of scenarios
listed in KNOWN-RED.txt, one `name | cause | issue` per line, are printed but
not counted.
"""

import pathlib
import sys

from behave import configuration
from behave import model_type
from behave import runner

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')


def read_known_red(text: str) -> dict[str, str]:
    """Return the cause and issue of each known failure by scenario name."""
    known = {}
    for line in text.splitlines():
        name, _, reason = line.partition('|')
        if reason.strip():
            known[name.strip()] = reason.strip()
    return known


def main() -> int:
    """Run the features on the command line, or all; return the exit code."""
    config = configuration.Configuration(sys.argv[1:] or ['features'])
    config.format = ['plain']
    test_runner = runner.Runner(config)
    test_runner.run()
    known = {}
    if KNOWN_RED.exists():
        known = read_known_red(KNOWN_RED.read_text(encoding='utf-8'))
    passed = 0
    failed = 0
    for feature in test_runner.features:
        for scenario in feature.walk_scenarios():
            # The names of examples of an outline end in a space.
            name = scenario.name.strip()
            if scenario.status is model_type.Status.passed:
                passed += 1
            elif scenario.status is model_type.Status.skipped:
                continue
            elif name in known:
                print(f'KNOWN RED: {name}: {known[name]}')
            else:
                failed += 1
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
