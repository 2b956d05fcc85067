"""Each scenario gets its own virtual-time loop and its own exit stack."""

import contextlib
import warnings

import async_solipsism

from features import bench


def before_scenario(context, scenario):
    """Make the loop and what the steps share."""
    warnings.simplefilter('ignore', async_solipsism.ResolutionWarning)
    context.loop = async_solipsism.EventLoop()
    context.stack = contextlib.AsyncExitStack()
    context.bench = bench.Bench(context.stack)


def after_scenario(context, scenario):
    """Close what the scenario opened, whether it passed or not."""
    context.loop.run_until_complete(context.stack.aclose())
    context.loop.close()
