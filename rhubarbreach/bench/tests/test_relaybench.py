"""Test of the relay benchmark."""

from rhubarbreach.bench import relaybench


def test_benchmark_runs(monkeypatch, capsys):
    """Guards against a benchmark that breaks when an interface changes."""
    monkeypatch.setattr(relaybench, 'SETTLE_SECONDS', 0.3)
    relaybench.run_steps(counts=(4,), rate=50.0, tokens=20, seconds=0.5)
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines[1:]] == ['direct', 'relay']
    for line in lines[1:]:
        assert float(line.split()[2]) > 0
        assert line.split()[-1] == '0'
