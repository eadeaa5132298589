"""Proof that a stream without a length is whole.

Such a stream ends with its connection, and so does one whose endpoint
crashes. Its end is unproven until the request, resumed after the last event,
brings further events or ends without any.

The endpoint that sent the stream is asked first. It keeps the prompt in its
memory, has the software version of the stream, and is not a further endpoint
on which the request runs. If it refuses, it has not crashed; if it accepts no
connection, it has. A refusal or a failure of another endpoint tells nothing.

Without a proof, the verdict follows this evidence. A stream that a caller has
is not given up because the proof itself has failed.
"""

__all__ = ['PROOF_SECONDS', 'EndProof']

# Callers wait for two seconds or more before they abandon a silent stream.
PROOF_SECONDS = 1.0


class EndProof:
    """Evidence on the unproven end of a stream.

    Parameters
    ----------
    attempt : Attempt
        Attempt whose response has ended.
    rivals : collection of Attempt
        Other attempts that run. Each may still send the next event.
    was_broken_off : bool
        Whether a response broke off after the last event.
    now : float
        Seconds of the monotonic clock.
    """

    def __init__(self, attempt, rivals, was_broken_off, now):
        self.attempt = attempt
        self.rivals = rivals
        self.was_broken_off = was_broken_off
        self.settle_at = now + PROOF_SECONDS
        # Whether the same endpoint may be asked again. Its second response
        # without an event is no proof against a response that broke off.
        self.may_ask_again = not was_broken_off
        # Attempt at the same endpoint, if it was asked again.
        self.repeat = None
        # Whether the endpoint accepts no connections any more.
        self.is_endpoint_gone = False

    @property
    def endpoint(self):
        """Endpoint whose response has ended."""
        return self.attempt.endpoint

    @property
    def is_endpoint_alive(self):
        """Whether the endpoint has accepted a connection since."""
        return self.repeat is not None and self.repeat.is_sent

    def is_whole(self):
        """Return the verdict on the stream if there is no proof.

        A response without an event shows nothing if its endpoint may have
        crashed.
        """
        if self.was_broken_off or self.is_endpoint_gone:
            return False
        return self.attempt.has_event or self.is_endpoint_alive

    def is_confirmed_by_another_end(self):
        """Return whether a second end after the same event is the proof.

        The end of an endpoint that crashed does not count.
        """
        return not self.is_endpoint_gone

    def is_disputed(self, attempts):
        """Return whether a rival still runs among the attempts."""
        return any(attempt in self.rivals for attempt in attempts)
