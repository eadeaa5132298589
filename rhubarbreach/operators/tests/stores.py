"""Test fleet whose store hosts run a replicated configuration group."""

from rhubarbreach import clock
from rhubarbreach.consensus import group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model as group_model
from rhubarbreach.distribution.tests import fleet
from rhubarbreach.operators import fleet as provider
from rhubarbreach.state import config
from rhubarbreach.state import model

STORES = ('store-1', 'store-2', 'store-3')


class RealFleet(fleet.Fleet):
    """Fleet whose store hosts elect a leader and keep logs in a folder."""

    first = ()

    def __init__(self, folder, upstreams, **options):
        self.folder = folder
        self.options = {'heartbeat': 0.05, 'election_timeout': 0.3, **options}
        super().__init__(dict.fromkeys(STORES, ()) | upstreams)

    def make_replica(self, name, link):
        if name not in STORES:
            return None
        machine = config.ConfigMachine()
        group_set = groups.GroupSet(link)
        settings = group_model.GroupSettings(
            provider.CONFIG_GROUP,
            name,
            self.get_folder(name),
            STORES,
            **self.options,
        )
        replica = group_set.add(group.Group(settings, link, machine))
        self.stack.callback(group_set.close)
        return replica, machine

    def get_folder(self, name):
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        return str(folder)

    def get_provider(self, name):
        host = self.hosts[name]
        return provider.FleetProvider(
            host.link, host.view, lambda: STORES, host.store
        )

    def find_leader(self):
        """Return the name of the store host that leads with a quorum."""
        leaders = []

        def find_leaders():
            leaders[:] = [
                name
                for name in STORES
                if name not in self.partitioned
                and self.hosts[name].store.group.quorum_contact > 0
            ]
            return leaders

        assert fleet.wait_until(find_leaders)
        return leaders[0]

    def make_change(self, change, name='store-1', operation_id='', **fields):
        self.operations += 1
        command = model.encode_request(
            operation_id or f'change-{self.operations}',
            fields.get('expected'),
            change,
        )
        result = self.get_provider(name).propose(
            command, clock.monotonic() + 15
        )
        return model.decode_result(result)
