"""Table of the callers whose sockets the event loop watches."""

from rhubarbreach.dispatch import sink as sink_module

__all__ = ['CallerTable']


class CallerTable:
    """Table of sinks by the file descriptor of their socket.

    Parameters
    ----------
    selector : selector.Selector
        Polls the sockets.
    metrics : observe.metrics.Metrics
        Counts lost callers.

    Attributes
    ----------
    now : float
        Monotonic seconds at the current iteration of the event loop.
    """

    def __init__(self, selector, metrics):
        self.selector = selector
        self.metrics = metrics
        self.sinks = {}
        self.now = 0.0

    def add(self, sink):
        """Watch the socket of a sink; may be called from any thread."""
        sink.table = self
        self.sinks[sink.fd] = sink
        self.selector.register(sink.fd, sink_module.READ_EVENTS)

    def modify(self, fd, mask):
        """Set the events polled on a socket; 0 stops watching it."""
        if fd not in self.sinks:
            return
        if mask:
            self.selector.modify(fd, mask)
        else:
            del self.sinks[fd]
            self.selector.unregister(fd)

    def report_lost(self, sink):
        """Count a lost caller and run the `on_lost` callback of its sink."""
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
            Completed once the socket is no longer watched.
        """
        if self.sinks.get(sink.fd) is sink:
            self.modify(sink.fd, 0)
        done.set_result(None)

    def check_stalled(self, now):
        """Abort the streams whose callers read nothing for too long."""
        for sink in tuple(self.sinks.values()):
            sink.check_stalled(now)
