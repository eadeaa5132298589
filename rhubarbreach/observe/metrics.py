"""Counters, gauges and latency histograms in the Prometheus text format."""

import threading

from hdrh import histogram

__all__ = ['Metrics']

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)


def format_labels(labels):
    """Return labels in braces, or an empty string without labels."""
    if not labels:
        return ''
    pairs = ','.join(f'{key}="{value}"' for key, value in labels)
    return '{' + pairs + '}'


class Metrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self):
        self.lock = threading.Lock()
        self.counters = {}
        self.gauges = {}
        self.histograms = {}

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self.lock:
            self.counters[key] = self.counters.get(key, 0) + amount

    def get_count(self, name, **labels):
        """Return the value of a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self.lock:
            return self.counters.get(key, 0)

    def set_gauge(self, name, value, **labels):
        """Set a gauge."""
        key = (name, tuple(sorted(labels.items())))
        with self.lock:
            self.gauges[key] = value

    def observe(self, name, seconds, **labels):
        """Record a latency.

        Parameters
        ----------
        name : str
            Metric name, ending in `_seconds`.
        seconds : float
            Latency.
        **labels
            Labels of the metric.
        """
        key = (name, tuple(sorted(labels.items())))
        value = max(MIN_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND))
        with self.lock:
            latencies = self.histograms.get(key)
            if latencies is None:
                latencies = histogram.HdrHistogram(
                    MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self.histograms[key] = latencies
            latencies.record_value(min(value, MAX_MICROSECONDS))

    def get_quantile(self, name, quantile, **labels):
        """Return a quantile of a latency in seconds, 0 without values."""
        key = (name, tuple(sorted(labels.items())))
        with self.lock:
            latencies = self.histograms.get(key)
            if latencies is None:
                return 0.0
            value = latencies.get_value_at_percentile(quantile * 100)
        return value / MICROSECONDS_PER_SECOND

    def render(self):
        """Return all metrics as text for a scraper."""
        lines = []
        with self.lock:
            for (name, labels), value in sorted(self.counters.items()):
                lines.append(f'{name}{format_labels(labels)} {value}')
            for (name, labels), value in sorted(self.gauges.items()):
                lines.append(f'{name}{format_labels(labels)} {value}')
            for (name, labels), latencies in sorted(
                self.histograms.items(), key=lambda pair: pair[0]
            ):
                lines.extend(render_histogram(name, labels, latencies))
        return '\n'.join(lines) + '\n'


def render_histogram(name, labels, latencies):
    """Return the lines of one histogram as a summary."""
    lines = []
    for quantile in QUANTILES:
        value = latencies.get_value_at_percentile(quantile * 100)
        quantile_labels = (*labels, ('quantile', quantile))
        seconds = value / MICROSECONDS_PER_SECOND
        lines.append(f'{name}{format_labels(quantile_labels)} {seconds}')
    lines.append(
        f'{name}_count{format_labels(labels)} {latencies.get_total_count()}'
    )
    return lines
