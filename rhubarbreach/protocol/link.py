"""Link of one host to its peers over TCP."""

import collections
import concurrent.futures
import itertools
import resource
import secrets
import threading
import time

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import delay as delay_queue
from rhubarbreach.protocol import framing
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import peer as peer_task
from rhubarbreach.protocol import receiver
from rhubarbreach.protocol import tls

__all__ = ['Link']

LOG = eventlog.Logger('link')

RECEIVE_SECONDS = 0.2
FAILURE_PAUSE_SECONDS = 0.05
# Interval of the log events on dropped messages and on late replies.
REJECT_LOG_SECONDS = 1.0
HANDLER_THREADS = 16
# Three connections of each of some hundred hosts: the one in use, its
# replacement and the one that was replaced.
MAX_CONNECTIONS = 1024
# Part of the descriptors of the process.
DESCRIPTOR_PART = 8
# A peer in use is probed at this interval and dialled again after the timeout.
# Both are below 3 s, the shortest time in which hosts have to detect a
# connection that stopped delivering data.
PROBE_INTERVAL_SECONDS = 0.8
PROBE_TIMEOUT_SECONDS = 1.2
# A peer that has not answered for this long is removed until its next use.
PEER_EXPIRY_SECONDS = 20.0
PROBE_MESSAGES = (hostmessages.LinkProbe, hostmessages.LinkProbeReply)
CALL_ID_BITS = 62


class Link:
    """Typed messages and calls between this host and its peers.

    Parameters
    ----------
    host_id : str
        Id of this host; the common name of its certificate.
    listen : str
        `IP:port` to listen on.
    peers : dict of str to str
        Addresses of peers by host id.
    tls_files : TlsFiles or None
        Certificates, None for plain TCP on loopback.
    hybrid_clock : HybridClock, optional
        Clock that is advanced by received messages.
    common_port : int, optional
        Port of the links of all hosts, for fleets in which the id of a host
        is its address. Peers are then added on first use, and are probed.
    max_connections : int, optional
        Bound of the connections that others make, and of the peers that are
        added on first use; fewer if the limit of descriptors allows only that.
    metrics : Metrics, optional
        Counts dropped messages and connections that ended for others.
    """

    def __init__(
        self,
        host_id,
        listen,
        peers,
        tls_files,
        hybrid_clock=None,
        common_port=None,
        max_connections=MAX_CONNECTIONS,
        metrics=None,
    ):
        self.common_port = common_port
        self.host_id = host_id
        self.listen = listen
        self.tls_files = tls_files
        self.hybrid_clock = hybrid_clock or clock.HybridClock()
        self.handlers = {}
        self.calls = {}
        # The first id is random, because a reply to a call made before a
        # restart of this host must not complete a call made after it.
        self.call_ids = itertools.count(secrets.randbits(CALL_ID_BITS) + 1)
        self.lock = threading.Lock()
        self.fault = None
        self.delays = delay_queue.DelayQueue()
        self.assembler = framing.Assembler()
        self.checks_due = clock.monotonic()
        self.closed = False
        self.rejected = 0
        self.reject_log_due = 0.0
        self.late_log_due = 0.0
        self.received_bytes = 0
        # Bytes queued for peers since the start, by type of message.
        self.queued_bytes_total = collections.Counter()
        self.executor = concurrent.futures.ThreadPoolExecutor(
            HANDLER_THREADS, thread_name_prefix='link-handler'
        )
        self.metrics = metrics
        self.max_peers = find_max_connections(max_connections)
        self.receiver = receiver.Receiver(
            listen,
            None if tls_files is None else tls.make_wrap(tls_files),
            self.max_peers,
            self.discard_partial,
            metrics,
        )
        self.peers = {}
        for peer_id, address in peers.items():
            self.set_peer(peer_id, address)
        if common_port is not None:
            self.register(
                hostmessages.LinkProbe, self.answer_probe, inline=True
            )
            self.register(
                hostmessages.LinkProbeReply,
                self.record_probe_reply,
                inline=True,
            )
        self.thread = threading.Thread(
            target=self.run, name='link-receiver', daemon=True
        )
        self.thread.start()

    def set_peer(self, peer_id, address):
        """Add a peer or change its address."""
        if peer_id == self.host_id:
            return
        with self.lock:
            previous = self.peers.get(peer_id)
            if previous is not None and previous.address == address:
                return
            self.peers[peer_id] = peer_task.Peer(
                peer_id, address, self.tls_files
            )
        if previous is not None:
            previous.close()

    def remove_peer(self, peer_id):
        """Remove a peer and close its connection."""
        with self.lock:
            peer = self.peers.pop(peer_id, None)
        if peer is not None:
            peer.close()

    def register(self, message_type, handler, inline=False):
        """Set the handler of a message type.

        Parameters
        ----------
        message_type : type
            Class of `rhubarbreach.protocol.messages`.
        handler : callable
            Called with the sender's host id and the message. A return value
            other than None is the reply to a call; it may be a future.
        inline : bool
            Run the handler on the receiver thread, which keeps the order of
            messages. Such a handler must not block.
        """
        self.handlers[message_type] = (handler, inline)

    def set_fault(self, fault):
        """Set a function that injects faults into sent messages in tests.

        Parameters
        ----------
        fault : callable or None
            Called with sender id, receiver id and message. Returns the
            delays in seconds of the copies to send; an empty result drops
            the message.
        """
        self.fault = fault

    def send(self, peer_id, message):
        """Queue a message for a peer.

        Returns
        -------
        bool
            False if the peer is unknown or its queue is full. True does not
            guarantee delivery.
        """
        return self.post(peer_id, 0, False, message)

    def call(self, peer_id, message, deadline):
        """Send a message and return a future of its reply.

        Parameters
        ----------
        peer_id : str
            Receiver; this host itself is allowed.
        message : object
            Message that the receiver's handler answers.
        deadline : float
            Deadline of the reply, in seconds of the monotonic clock.

        Returns
        -------
        concurrent.futures.Future
            Reply message, or a `Refusal` with code UNAVAILABLE. Its `ran` is
            NO if nothing was sent, and UNKNOWN if no reply arrived in time.
        """
        future = concurrent.futures.Future()
        call_id = next(self.call_ids)
        with self.lock:
            self.calls[call_id] = (future, deadline)
        if not self.post(peer_id, call_id, False, message):
            self.finish_call(call_id, make_refusal(peer_id, codes.Ran.NO))
        if self.closed:
            # close() may have completed the open calls before this one.
            self.finish_call(call_id, make_refusal('', codes.Ran.UNKNOWN))
        return future

    def post(self, peer_id, call_id, is_reply, message):
        """Queue an envelope for a peer, or dispatch it on this host."""
        envelope = codec.Envelope(
            self.host_id, call_id, is_reply, self.hybrid_clock.now(), message
        )
        if peer_id == self.host_id:
            self.dispatch(envelope)
            return True
        peer = self.find_peer(peer_id)
        if peer is None:
            return False
        if not isinstance(message, PROBE_MESSAGES):
            peer.used = True
        data = codec.encode(envelope)
        self.queued_bytes_total[type(message).__name__] += len(data)
        if self.fault is None:
            return peer.put(data)
        for delay in self.fault(self.host_id, peer_id, message):
            if delay <= 0:
                peer.put(data)
            else:
                self.delays.call_later(delay, peer.put, data)
        return True

    def find_peer(self, peer_id):
        """Return a peer, added first if its id is its address."""
        with self.lock:
            peer = self.peers.get(peer_id)
        if peer is None and self.common_port is not None and not self.closed:
            if not self.has_room_for_peer(clock.monotonic()):
                return None
            self.set_peer(peer_id, f'{peer_id}:{self.common_port}')
            with self.lock:
                peer = self.peers.get(peer_id)
        return peer

    def has_room_for_peer(self, now):
        """Return whether a peer may be added; make room for it if possible.

        Any sender of a message gets a reply, and becomes a peer by it.
        """
        with self.lock:
            if len(self.peers) < self.max_peers:
                return True
            unconnected = [
                peer
                for peer in self.peers.values()
                if now >= peer.connect_deadline and not peer.is_connected
            ]
        if unconnected:
            self.remove_peer(unconnected[0].peer_id)
            return True
        self.reject('too_many_peers', f'{self.max_peers}')
        return False

    def probe_peers(self, now):
        """Probe the peers in use; reconnect those that did not answer."""
        with self.lock:
            peers = list(self.peers.values())
        for peer in peers:
            peer.adopt(now)
            if peer.probe_sent is not None:
                if now - peer.probe_sent > PROBE_TIMEOUT_SECONDS:
                    self.reconnect_peer(peer, now)
            elif peer.used and now >= peer.probe_due:
                peer.probe_sent = now
                self.send(peer.peer_id, hostmessages.LinkProbe())
                peer.used = False

    def reconnect_peer(self, peer, now):
        """Dial an unresponsive peer again; remove it after its expiry."""
        if peer.silent_since is None:
            peer.silent_since = now
            LOG.warning('event=peer_silent peer={}', peer.peer_id)
        peer.probe_sent = None
        if now - peer.silent_since > PEER_EXPIRY_SECONDS:
            LOG.info('event=peer_forgotten peer={}', peer.peer_id)
            self.remove_peer(peer.peer_id)
            return
        peer.redial()
        peer.used = True

    def is_silent(self, peer_id):
        """Return whether a peer does not answer probes."""
        with self.lock:
            peer = self.peers.get(peer_id)
        return peer is not None and peer.silent_since is not None

    def get_heard_at(self, peer_id):
        """Return the monotonic time at which a peer was last heard.

        The result is minus infinity for a peer that was not heard.
        """
        with self.lock:
            peer = self.peers.get(peer_id)
        return float('-inf') if peer is None else peer.heard_at

    def answer_probe(self, sender_id, _):
        """Answer a probe."""
        self.send(sender_id, hostmessages.LinkProbeReply())

    def record_probe_reply(self, sender_id, _):
        """Record that messages to and from a peer arrive."""
        with self.lock:
            peer = self.peers.get(sender_id)
        if peer is None:
            return
        if peer.silent_since is not None:
            LOG.info('event=peer_answers peer={}', sender_id)
            peer.keep()
        peer.silent_since = None
        peer.probe_sent = None
        peer.probe_due = clock.monotonic() + PROBE_INTERVAL_SECONDS

    def run(self):
        """Receive messages until the link is closed."""
        while not self.closed:
            try:
                self.run_once(clock.monotonic())
            except Exception:
                # If this thread ended, the host would receive no messages and
                # no call would complete.
                if not self.closed:
                    LOG.exception('event=receive_failed')
                    time.sleep(FAILURE_PAUSE_SECONDS)
        self.receiver.release()

    def run_once(self, now):
        """Run the periodic checks if they are due and receive frames."""
        if now >= self.checks_due:
            self.checks_due = now + RECEIVE_SECONDS
            self.expire_calls(now)
            if self.common_port is not None:
                self.probe_peers(now)
        for connection, frame in self.receiver.receive(RECEIVE_SECONDS):
            try:
                self.receive_frame(connection, frame)
            except Exception:
                LOG.exception('event=receive_failed')

    def discard_partial(self, connection):
        """Discard the incomplete message of a connection that has ended."""
        self.assembler.discard(connection.number)

    def receive_frame(self, connection, frame):
        """Add a received frame; dispatch its message if it is complete."""
        self.received_bytes += len(frame)
        try:
            data = self.assembler.add(connection.number, frame)
            if data is None:
                return
            envelope = codec.decode(data)
        except exceptions.MessageError as error:
            self.reject('malformed', str(error))
            return
        if self.tls_files is not None:
            name = connection.stream.peer_name
            if name != envelope.sender_id:
                self.reject('wrong_certificate', f'{name}')
                return
        if connection.sender_id not in ('', envelope.sender_id):
            # A host has connections of its own.
            self.reject('other_sender', envelope.sender_id)
            self.receiver.end(connection)
            return
        connection.sender_id = envelope.sender_id
        self.hybrid_clock.observe(envelope.stamp)
        with self.lock:
            peer = self.peers.get(envelope.sender_id)
        if peer is not None:
            peer.heard_at = clock.monotonic()
        self.receiver.record_message(connection)
        self.dispatch(envelope)

    def reject(self, reason, detail):
        """Count a dropped message, and log it at a bounded rate."""
        self.rejected += 1
        if self.metrics is not None:
            self.metrics.count('link_messages_rejected_total', reason=reason)
        now = clock.monotonic()
        if now >= self.reject_log_due:
            self.reject_log_due = now + REJECT_LOG_SECONDS
            LOG.warning(
                'event=message_rejected reason={} detail={!r} total={}',
                reason,
                detail,
                self.rejected,
            )

    def dispatch(self, envelope):
        """Complete the call of a reply, or run the handler of a message."""
        if envelope.is_reply:
            if not self.finish_call(envelope.call_id, envelope.message):
                self.record_late_reply(envelope)
            return
        handler, inline = self.handlers.get(
            type(envelope.message), (None, False)
        )
        if handler is None:
            return
        if inline and envelope.sender_id != self.host_id:
            self.run_handler(handler, envelope)
            return
        try:
            self.executor.submit(self.run_handler, handler, envelope)
        except RuntimeError:
            # close() has shut down the executor.
            return

    def run_handler(self, handler, envelope):
        """Run a handler and send its reply."""
        try:
            reply = handler(envelope.sender_id, envelope.message)
        except Exception:
            LOG.exception('event=handler_failed sender={}', envelope.sender_id)
            return
        if isinstance(reply, concurrent.futures.Future):
            reply.add_done_callback(
                lambda done: self.send_reply(envelope, done.result())
            )
            return
        self.send_reply(envelope, reply)

    def send_reply(self, envelope, message):
        """Send the reply to a call; a one-way message gets none."""
        if message is None or not envelope.call_id:
            return
        self.post(envelope.sender_id, envelope.call_id, True, message)

    def finish_call(self, call_id, result):
        """Complete the future of a call; return whether it was open."""
        with self.lock:
            future, _ = self.calls.pop(call_id, (None, None))
        if future is None:
            return False
        future.set_result(result)
        return True

    def record_late_reply(self, envelope):
        """Count a reply to a call that is over, and log at a bounded rate."""
        name = type(envelope.message).__name__
        if self.metrics is not None:
            self.metrics.count('link_replies_late_total', message=name)
        now = clock.monotonic()
        if now >= self.late_log_due:
            self.late_log_due = now + REJECT_LOG_SECONDS
            LOG.warning(
                'event=reply_late peer={} message={}', envelope.sender_id, name
            )

    def expire_calls(self, now):
        """Complete the calls whose deadline has passed."""
        with self.lock:
            expired = [
                call_id
                for call_id, (_, deadline) in self.calls.items()
                if deadline <= now
            ]
        for call_id in expired:
            self.finish_call(call_id, make_refusal('', codes.Ran.UNKNOWN))

    def close(self):
        """Stop all threads of the link and complete open calls."""
        self.closed = True
        self.delays.close()
        with self.lock:
            peers = list(self.peers.values())
            self.peers.clear()
        for peer in peers:
            peer.close()
        self.receiver.close()
        self.expire_calls(float('inf'))
        self.executor.shutdown(wait=False, cancel_futures=True)


def find_max_connections(max_connections):
    """Return the number of connections that the descriptors allow.

    Parameters
    ----------
    max_connections : int
        Largest number to return.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return max_connections
    return max(1, min(max_connections, limit // DESCRIPTOR_PART))


def make_refusal(peer_id, ran):
    """Return the refusal of a call that got no reply."""
    reason = 'no reply in time'
    if ran == codes.Ran.NO:
        reason = f'host {peer_id} is not connected'
    return codes.Refusal(codes.ResultCode.UNAVAILABLE, reason, ran)
