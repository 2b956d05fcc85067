"""Structured logs through absl.logging, one JSON object per line."""

import logging as standard_logging

from absl import flags
from absl import logging

from rudderrock import protocol
from rudderrock import state

# Kinds that may occur with every request are logged at the debug level.
_DEBUG_KINDS = frozenset(
    {
        state.EventKind.ANSWERED,
        state.EventKind.HEDGE,
        state.EventKind.RETRY,
        state.EventKind.CLAIM,
    }
)
_WARNING_KINDS = frozenset(
    {
        state.EventKind.TABLE_REJECTED,
        state.EventKind.TABLE_RESTORED,
        state.EventKind.LAYOUT_REJECTED,
        state.EventKind.HOSTS_REJECTED,
        state.EventKind.KV_DOWN,
        state.EventKind.LEASE_LAPSED,
    }
)


def set_up_logs(level: str) -> None:
    """Log to standard error at or above a level.

    The levels are debug, info, warning and error.
    """
    # absl warns until its own flags are parsed. The programs parse their
    # command line with defopt instead.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    # uvicorn logs an error for each pending long poll that a stop cancels.
    standard_logging.getLogger('uvicorn').setLevel(standard_logging.CRITICAL)
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)


def log_event(event: state.Event) -> None:
    """Log one event of the time line as JSON."""
    if event.kind in _DEBUG_KINDS:
        if logging.vlog_is_on(1):
            logging.debug('%s', protocol.encode(event).decode())
    elif event.kind in _WARNING_KINDS:
        logging.warning('%s', protocol.encode(event).decode())
    else:
        logging.info('%s', protocol.encode(event).decode())
