"""Charts of benchmark runs."""

from matplotlib import figure

__all__ = ['plot_bench']


def plot_bench(runs, tokens_per_item, path):
    """Write a chart with one row for each policy mode.

    Parameters
    ----------
    runs : dict of str to serve.ModeRun
        Finished runs by policy mode.
    tokens_per_item : int
        Tokens of one batch item.
    path : str
        File to write.
    """
    chart = figure.Figure(figsize=(10, 3 * len(runs)))
    rows = chart.subplots(len(runs), 2, squeeze=False)
    for (mode, run), (latency_axes, throughput_axes) in zip(
        runs.items(), rows, strict=True
    ):
        complete = [sample for sample in run.samples if sample.complete]
        latency_axes.plot(
            [sample.arrival.at for sample in complete],
            [sample.first_token * 1000 for sample in complete],
            '.',
            markersize=2,
        )
        latency_axes.set_title(f'{mode}: first token, ms')
        latency_axes.set_yscale('log')
        pairs = list(zip(run.points, run.points[1:], strict=False))
        throughput_axes.plot(
            [later[0] - run.points[0][0] for _, later in pairs],
            [
                (later[1] - earlier[1])
                * tokens_per_item
                / (later[0] - earlier[0])
                for earlier, later in pairs
            ],
        )
        throughput_axes.set_title(f'{mode}: batch tokens/s')
    chart.tight_layout()
    chart.savefig(path)
