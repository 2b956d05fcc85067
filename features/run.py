"""Run all scenarios and close with one plain line of counts.

The counts are of scenarios. The exit code is 1 if any failed, or if none
was run.
"""

import sys

from behave import configuration
from behave import model_type
from behave import runner


def main() -> int:
    """Run what the command line names, or everything."""
    config = configuration.Configuration(sys.argv[1:] or ['features'])
    config.format = ['plain']
    run = runner.Runner(config)
    run.run()
    passed = 0
    failed = 0
    for feature in run.features:
        for scenario in feature.walk_scenarios():
            if scenario.status is model_type.Status.passed:
                passed += 1
            elif scenario.status is not model_type.Status.skipped:
                failed += 1
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
