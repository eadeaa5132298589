"""Batch jobs of the ledger."""

import dataclasses

from rhubarbreach.backlog import commands

__all__ = ['Job', 'MAX_REPLY_BYTES', 'measure_item']

# Bytes of result text in one reply. A job of ten items has about 160 KB, and
# replies to all entry hosts may be queued at the same time.
MAX_REPLY_BYTES = 256 * 1024
# Memory of an item or a result beside its texts, and of a header field.
ITEM_BYTES = 512
FIELD_BYTES = 192
# Expected output of an item for each of its tokens, and the largest one.
OUTPUT_BYTES_PER_TOKEN = 16
MAX_OUTPUT_BYTES = 1472 * 1024


def measure_item(item):
    """Return the memory of an open item with its expected output."""
    fields = sum(len(name) + len(value) for name, value in item.headers)
    return (
        ITEM_BYTES
        + len(item.path)
        + fields
        + FIELD_BYTES * len(item.headers)
        + len(item.body)
        + min(OUTPUT_BYTES_PER_TOKEN * item.tokens, MAX_OUTPUT_BYTES)
    )


def measure_result(result):
    """Return the memory of a result."""
    return ITEM_BYTES + len(result.output) + len(result.reason)


@dataclasses.dataclass(slots=True)
class Job:
    """Batch job.

    `open` holds the items without a result, in order. `made` holds the
    committed events of open items, and `makers` the source of the last of
    them: the id of the order whose run produced it, and the number of the
    event after which that run resumed the item. `versions` holds the software
    version of the endpoints that produced them. `ends` holds the endpoint
    whose response ended in order after the last event, without a length, and
    the start of its process.
    """

    job_id: str
    account: str
    host: str
    path_prefix: str
    submitted: float
    due: float
    retained_until: float
    max_attempts: int
    total: int
    open: dict[str, commands.Item]
    results: list[commands.ItemResult]
    ended: bool = False
    made: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)
    makers: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    versions: dict[str, str] = dataclasses.field(default_factory=dict)
    ends: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)

    @property
    def is_closed(self):
        """Whether the job has no items left to run."""
        return self.ended or not self.open

    @property
    def size(self):
        """Memory of the open items and of the results."""
        return sum(map(measure_item, self.open.values())) + sum(
            map(measure_result, self.results)
        )

    @property
    def waiting_tokens(self):
        """Tokens of the items without a result."""
        if self.ended:
            return 0
        return sum(item.tokens for item in self.open.values())

    def add_progress(self, item):
        """Append events of an open item that follow the committed ones.

        A leader that does not know all committed events may commit events of
        a run that resumed the item at an earlier one. Such events are
        ignored, and the item runs again from the last committed event. A run
        of another software version replaces the events if it began anew.

        Parameters
        ----------
        item : ItemProgress
            Events of one run.
        """
        if item.item_id not in self.open:
            return
        texts = self.made.setdefault(item.item_id, [])
        version = self.versions.get(item.item_id, '')
        if texts and item.software_version != version:
            if item.begun or item.first != 1:
                return
            texts.clear()
        event_count = len(texts)
        source = (item.order_id, item.begun)
        is_next = item.first == event_count + 1 and item.begun == event_count
        is_same = self.makers.get(item.item_id) == source
        if is_next or (is_same and item.first <= event_count + 1):
            texts.extend(item.texts[event_count + 1 - item.first :])
            self.makers[item.item_id] = source
            self.versions[item.item_id] = item.software_version
            if len(texts) > event_count:
                self.ends.pop(item.item_id, None)
            if len(texts) == item.first - 1 + len(item.texts):
                self.set_end(item)

    def set_end(self, item):
        """Record the end after the last event of an open item, if any."""
        self.ends.pop(item.item_id, None)
        if item.ended_at:
            self.ends[item.item_id] = (item.ended_at, item.ended_born)

    def drop_progress(self, item_id):
        """Drop the committed events of an item."""
        self.made.pop(item_id, None)
        self.makers.pop(item_id, None)
        self.versions.pop(item_id, None)
        self.ends.pop(item_id, None)

    def add_result(self, result):
        """Append a result unless its item already has one.

        Returns
        -------
        int
            Change of the size of the job.
        """
        self.drop_progress(result.item_id)
        item = self.open.pop(result.item_id, None)
        if item is None:
            return 0
        self.results.append(result)
        return measure_result(result) - measure_item(item)

    def end(self):
        """Discard the open items."""
        self.ended = True
        self.open = {}
        self.made = {}
        self.makers = {}
        self.versions = {}
        self.ends = {}

    def list_results(self, after):
        """Return the results from a position on that fit into one reply.

        A result larger than the limit is returned alone.
        """
        chosen = []
        size = 0
        for result in self.results[max(0, after) :]:
            size += len(result.output)
            if chosen and size > MAX_REPLY_BYTES:
                break
            chosen.append(result)
        return tuple(chosen)
