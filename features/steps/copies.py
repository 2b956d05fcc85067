"""Steps on a source that comes back from an older copy."""

import asyncio

from behave import use_step_matcher
from behave import when

from features.steps import gateway as gateway_steps
from features.steps.common import run

use_step_matcher('re')


@when(r'the source is copied')
def copy_source(context):
    context.copy = gateway_steps.get(context).source.make_copy()


@when(r'the routes are written again (\d+) times?')
def write_again(context, times):
    for _ in range(int(times)):
        gateway_steps.get(context).publish()


@when(r'the source comes back from the copy after ([\d.]+) seconds')
def come_back(context, seconds):
    source = gateway_steps.get(context).source
    source.is_down = True
    run(context, asyncio.sleep(float(seconds)))
    source.is_down = False
    source.come_back(context.copy)
