"""Tests of the recording of the timeline."""

from rhubarbreach import clock
from rhubarbreach.observe import timeline


def test_full_disk_does_not_stop_what_is_recorded():
    """Guards against a replica that ends because of its timeline."""
    recorder = timeline.Recorder('h', clock.HybridClock(), '/dev/full')
    for _ in range(2 * timeline.FLUSH_EVENTS):
        recorder.record('event', detail='x' * 1000)
    recorder.flush()
    recorder.close()
    assert len(recorder.events) == 2 * timeline.FLUSH_EVENTS
