"""Callers whose sockets the event loop watches."""

from rhubarbreach.dispatch import sink as sink_module

__all__ = ['CallerTable']


class CallerTable:
    """Sinks by the descriptors of their sockets.

    Parameters
    ----------
    selector : selector.Selector
        Waits for the sockets.
    metrics : observe.metrics.Metrics
        Counts lost callers.

    Attributes
    ----------
    now : float
        Monotonic seconds of the current pass of the event loop.
    """

    def __init__(self, selector, metrics):
        self.selector = selector
        self.metrics = metrics
        self.sinks = {}
        self.now = 0.0

    def add(self, sink):
        """Watch the socket of a sink; called from any thread."""
        sink.table = self
        self.sinks[sink.fd] = sink
        self.selector.register(sink.fd, sink_module.READ_EVENTS)

    def modify(self, fd, mask):
        """Change which events of a socket are waited for; 0 ends it."""
        if fd not in self.sinks:
            return
        if mask:
            self.selector.modify(fd, mask)
        else:
            del self.sinks[fd]
            self.selector.unregister(fd)

    def lose(self, sink):
        """Count a caller that is gone and tell who waits for it."""
        reason = 'slow' if sink.slow else 'gone'
        self.metrics.count('dispatch_callers_lost_total', reason=reason)
        if sink.on_lost is not None:
            sink.on_lost(sink)

    def remove(self, sink, done):
        """Stop watching the socket of a sink.

        Parameters
        ----------
        sink : sink.CallerSink
            Sink that is no longer used.
        done : concurrent.futures.Future
            Completed afterwards.
        """
        if self.sinks.get(sink.fd) is sink:
            self.modify(sink.fd, 0)
        done.set_result(None)

    def check_stalled(self, now):
        """Give up the callers that took nothing for too long."""
        for sink in tuple(self.sinks.values()):
            sink.check_stalled(now)
