"""Pictures of bench runs."""

from matplotlib import figure

__all__ = ['plot_bench']


def plot_bench(runs, tokens_per_item, path):
    """Write a picture with one row for each policy mode.

    Parameters
    ----------
    runs : dict of str to serve.ModeRun
        Finished runs.
    tokens_per_item : int
        Tokens of one batch item.
    path : str
        File to write.
    """
    picture = figure.Figure(figsize=(10, 3 * len(runs)))
    rows = picture.subplots(len(runs), 2, squeeze=False)
    for (mode, run), (left, right) in zip(runs.items(), rows, strict=True):
        complete = [one for one in run.samples if one.complete]
        left.plot(
            [one.arrival.at for one in complete],
            [one.first_token * 1000 for one in complete],
            '.',
            markersize=2,
        )
        left.set_title(f'{mode}: first token, ms')
        left.set_yscale('log')
        pairs = list(zip(run.points, run.points[1:], strict=False))
        right.plot(
            [later[0] - run.points[0][0] for _, later in pairs],
            [
                (later[1] - first[1]) * tokens_per_item / (later[0] - first[0])
                for first, later in pairs
            ],
        )
        right.set_title(f'{mode}: batch tokens/s')
    picture.tight_layout()
    picture.savefig(path)
