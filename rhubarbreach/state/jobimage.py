"""Encoding and decoding of the snapshot of a job group."""

import array

import msgspec

from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobitems
from rhubarbreach.state import jobshares
from rhubarbreach.state import pack

__all__ = ['GroupImage', 'decode_group', 'encode_group']


class ClaimImage(msgspec.Struct, frozen=True, array_like=True):
    """Claim as stored in a snapshot.

    `open` is the number of items that are still held.
    """

    epoch: int
    job_id: str
    host_id: str
    expires_at: int
    items: bytes
    open: int


class JobImage(msgspec.Struct, frozen=True, array_like=True):
    """Job as stored in a snapshot; see `jobitems.Job` for the fields."""

    begin: jobcommands.BeginJob
    sequence: int
    state: jobcommands.JobState
    changed_at: int
    next_new: int
    returned: list[int]
    delayed: list[tuple[int, int]]
    states: bytes
    attempts: bytes
    losses: bytes
    epochs: bytes
    costs: bytes
    custom_ids: tuple[pack.SegmentImage, ...]
    bodies: tuple[pack.SegmentImage, ...]
    results: tuple[pack.SegmentImage, ...]


class GroupImage(msgspec.Struct, frozen=True, array_like=True):
    """Whole state of a job group as stored in a snapshot."""

    time: int
    next_sequence: int
    next_epoch: int
    jobs: tuple[JobImage, ...]
    claims: tuple[ClaimImage, ...]
    last_claims: dict[str, tuple[int, tuple[int, ...], int]]
    shares: jobshares.ShareImage


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(GroupImage)


def make_job_image(job):
    """Return the snapshot form of a job."""
    return JobImage(
        job.begin,
        job.sequence,
        job.state,
        job.changed_at,
        job.next_new,
        list(job.returned),
        list(job.delayed),
        job.states.tobytes(),
        job.attempts.tobytes(),
        job.losses.tobytes(),
        job.epochs.tobytes(),
        job.costs.tobytes(),
        job.custom_ids.make_image(),
        job.bodies.make_image(),
        job.results.make_image(),
    )


def load_job(image):
    """Return the job from its snapshot form."""
    job = jobitems.Job(image.begin, image.sequence)
    job.state = image.state
    job.changed_at = image.changed_at
    job.next_new = image.next_new
    job.returned = list(image.returned)
    job.delayed = list(image.delayed)
    job.states = array.array('B', image.states)
    job.attempts = array.array('B', image.attempts)
    job.losses = array.array('B', image.losses)
    job.epochs = array.array('Q')
    job.epochs.frombytes(image.epochs)
    job.costs = array.array('I')
    job.costs.frombytes(image.costs)
    job.counts = [image.states.count(state) for state in jobcommands.ItemState]
    job.custom_ids = pack.Pack.from_image(image.custom_ids)
    job.bodies = pack.Pack.from_image(image.bodies)
    job.results = pack.Pack.from_image(image.results)
    return job


def make_claim_image(claim):
    """Return the snapshot form of a claim."""
    return ClaimImage(
        claim.epoch,
        claim.job_id,
        claim.host_id,
        claim.expires_at,
        claim.items.tobytes(),
        claim.open,
    )


def load_claim(image):
    """Return the claim from its snapshot form."""
    claim = jobitems.Claim(
        image.epoch, image.job_id, image.host_id, image.expires_at, ()
    )
    claim.items.frombytes(image.items)
    claim.open = image.open
    return claim


def encode_group(machine):
    """Return the encoded snapshot of a `JobsMachine`."""
    image = GroupImage(
        machine.time,
        machine.next_sequence,
        machine.next_epoch,
        tuple(make_job_image(job) for job in machine.jobs.values()),
        tuple(make_claim_image(claim) for claim in machine.claims.values()),
        dict(machine.last_claims),
        machine.shares.make_image(),
    )
    return ENCODER.encode(image)


def decode_group(machine, data):
    """Replace the state of a `JobsMachine` by that of a snapshot."""
    image = DECODER.decode(data)
    machine.time = image.time
    machine.next_sequence = image.next_sequence
    machine.next_epoch = image.next_epoch
    machine.jobs = {}
    machine.accounts = {}
    machine.shares = jobshares.JobShares()
    for job_image in image.jobs:
        machine.insert(load_job(job_image))
    # Inserting a job raises its account to the virtual time. The values of
    # the snapshot replace that, so that all replicas choose the same jobs.
    machine.shares.load_image(image.shares)
    machine.claims = {
        claim_image.epoch: load_claim(claim_image)
        for claim_image in image.claims
    }
    machine.last_claims = dict(image.last_claims)
