"""Load tool, demo, bench and slope measurements."""
