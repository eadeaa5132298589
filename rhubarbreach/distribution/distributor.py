"""Assembly of the configuration distribution of one host."""

from rhubarbreach import clock
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import revision as revision_module
from rhubarbreach.distribution import serve
from rhubarbreach.distribution import store as store_module
from rhubarbreach.distribution import view as view_module
from rhubarbreach.distribution import watch

__all__ = ['Distributor']


class Distributor:
    """Configuration view, polling thread and server of one host.

    Parameters
    ----------
    settings : rhubarbreach.distribution.watch.WatcherSettings
        Identity of this process.
    link : Link
        Link of this host.
    get_upstreams : callable
        Returns the host ids to poll, see `watch.order_upstreams`.
    folder : str
        Data folder, empty for a host without a disk.
    replica : tuple of Group and ConfigMachine, optional
        Replica of the configuration group. Only on a store host.
    expected_hosts : callable, optional
        Returns the ids of all hosts that may accept keys.
    recorder : Recorder, optional
        Recorder of the timeline.
    metrics : Metrics, optional
        Gauges `config_revision` and `config_validity_seconds`.

    Attributes
    ----------
    view : ConfigView
        Configuration in effect on this host.
    tracker : RevisionTracker
        Revisions in use by the hosts that poll this one.
    store : LocalStore or None
        Configuration group on a store host, else None.
    """

    def __init__(
        self,
        settings,
        link,
        get_upstreams,
        folder='',
        replica=None,
        expected_hosts=None,
        recorder=None,
        metrics=None,
    ):
        self.recorder = recorder
        self.metrics = metrics
        self.file = None
        if folder and replica is None:
            # A store host needs no file: its replica recovers from the log
            # and never applies an older state.
            self.file = revision_module.RevisionFile(folder)
        self.view = view_module.ConfigView(self.file)
        self.view.subscribe(self.record_update)
        self.view.subscribe_renewal(self.record_validity)
        self.tracker = effect.RevisionTracker()
        self.store = None
        if replica is not None:
            group, machine = replica
            self.store = store_module.LocalStore(group, machine, self.view)
        self.server = serve.ConfigServer(
            link, self.view, self.tracker, self.store, expected_hosts
        )
        self.watcher = watch.Watcher(
            settings,
            link,
            self.view,
            get_upstreams,
            self.tracker,
            self.store,
        )

    def start(self):
        """Start the thread that keeps the view up to date."""
        self.watcher.start()

    def record_update(self, update):
        """Record that a revision is in effect on this host."""
        revision = update.config.revision
        if self.metrics is not None:
            self.metrics.set_gauge('config_revision', revision)
        if self.recorder is None:
            return
        reason = 'changes'
        if update.changes is None:
            reason = 'whole configuration'
        detail = f'revision={revision} before={update.before.revision}'
        self.recorder.record('config_applied', reason, detail=detail)

    def record_validity(self):
        """Set the gauge of the remaining validity of the view."""
        if self.metrics is None:
            return
        seconds = self.view.valid_until - clock.monotonic()
        self.metrics.set_gauge('config_validity_seconds', round(seconds, 3))

    def close(self):
        """Stop all threads and close the revision file."""
        self.watcher.close()
        self.server.close()
        if self.file is not None:
            self.file.close()
