"""Detection of messages about quotas that a host may have missed."""

import math

from rudderrock import core

# Time without a sign of contact after which messages may have been missed, in
# seconds. Other voters send one every 0.5 s while a team has to ask first.
CONTACT_TIMEOUT_S = 1.5


class ContactMonitor:
    """Tells whether this host may have missed what others counted.

    That is so after its process has stood still, which shows in the time
    since it last ran, and after it has been cut off, which shows in the time
    since another host last sent something. Both are checked before a message
    is handled, since the first one after the pause may be a question.

    `missed_at` is the loop time in seconds at which a pause was last found,
    minus infinity if never.
    """

    def __init__(self, clock: core.Clock):
        self.missed_at = -math.inf
        self._clock = clock
        self._ran_at = clock.now()
        self._heard_at = clock.now()

    def check(self, expects_messages: bool) -> None:
        """Look for a pause that ends now.

        `expects_messages` is whether other hosts send messages regularly.
        """
        now = self._clock.now()
        has_stood_still = now - self._ran_at > CONTACT_TIMEOUT_S
        is_cut_off = now - self._heard_at > CONTACT_TIMEOUT_S
        if has_stood_still or (expects_messages and is_cut_off):
            self.missed_at = now
        self._ran_at = now
        if not expects_messages:
            self._heard_at = now

    def record_message(self, expects_messages: bool) -> None:
        """Look for a pause, and record a message of another host."""
        self.check(expects_messages)
        self._heard_at = self._clock.now()
