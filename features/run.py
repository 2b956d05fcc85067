"""Run all scenarios and close with one plain line of counts.

The counts are of scenarios. The exit code is 1 if any failed, or if none
was run. Scenarios that KNOWN-RED.txt lists are printed and passed over: one
line each, `name | cause | issue`.
"""

import pathlib
import sys

from behave import configuration
from behave import model_type
from behave import runner

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')


def read_known_red(text: str) -> dict[str, str]:
    """Return the cause and issue of each scenario that is known to fail."""
    known = {}
    for line in text.splitlines():
        name, _, why = line.partition('|')
        if why.strip():
            known[name.strip()] = why.strip()
    return known


def main() -> int:
    """Run what the command line names, or everything."""
    config = configuration.Configuration(sys.argv[1:] or ['features'])
    config.format = ['plain']
    run = runner.Runner(config)
    run.run()
    known = {}
    if KNOWN_RED.exists():
        known = read_known_red(KNOWN_RED.read_text(encoding='utf-8'))
    passed = 0
    failed = 0
    for feature in run.features:
        for scenario in feature.walk_scenarios():
            if scenario.status is model_type.Status.passed:
                passed += 1
            elif scenario.status is model_type.Status.skipped:
                continue
            elif scenario.name in known:
                print(f'KNOWN RED: {scenario.name}: {known[scenario.name]}')
            else:
                failed += 1
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
