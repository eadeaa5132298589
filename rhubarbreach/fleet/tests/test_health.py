"""Ejection of endpoints after many failures."""

from rhubarbreach.fleet import health


def test_endpoint_that_never_succeeds_is_tried_again():
    # The ejection time once overflowed after some 1000 failures.
    table = health.HealthTable()
    now = 0.0
    for _ in range(1100):
        table.record_failure('e1', now)
        assert table.is_ejected('e1', now)
        now += health.MAX_EJECTION_SECONDS
        assert not table.is_ejected('e1', now)
