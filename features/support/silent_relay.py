"""A TCP relay whose connections can go silent, stand still for a while, or be narrow."""

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

ACCEPT_WAIT_S = 0.1
CHUNK_BYTES = 16 * 1024
LOOK_S = 0.02
MAXIMUM_PUMPS = 64


class _Pair:
    """The two sockets of one relayed connection."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.is_silent = False

    def close(self):
        for one in (self.near, self.far):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()


class SilentRelay:
    """Relays to `host:port`. A silent connection is neither read nor closed; new ones pass."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._stopping = threading.Event()
        self._running = threading.Event()
        self._running.set()
        self._bytes_per_s = None
        self._pairs = []
        self.attempts = 0
        """Connections that were opened to the relay so far."""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_WAIT_S)
        self._pool = ThreadPoolExecutor(MAXIMUM_PUMPS)
        self._pool.submit(self._accept)

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def silence(self):
        """Stop reading and writing on all connections that are open now."""
        for pair in list(self._pairs):
            pair.is_silent = True

    def freeze(self):
        """Stand still, also for new connections, which are accepted and not answered."""
        self._running.clear()

    def thaw(self):
        """Go on where the relay stood still; nothing was lost."""
        self._running.set()

    def narrow(self, bytes_per_s):
        """Bound what each connection carries towards the target."""
        self._bytes_per_s = bytes_per_s

    def stop(self):
        self._stopping.set()
        self._running.set()
        for pair in list(self._pairs):
            pair.close()
        self._pool.shutdown(wait=True)
        self._listener.close()

    def _accept(self):
        while not self._stopping.is_set():
            try:
                near, _ = self._listener.accept()
            except TimeoutError:
                continue
            self.attempts += 1
            self._pool.submit(self._open, near)

    def _open(self, near):
        self._running.wait()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        pair = _Pair(near, far)
        self._pairs.append(pair)
        self._pool.submit(self._pump, pair, near, far, True)
        self._pool.submit(self._pump, pair, far, near, False)

    def _pump(self, pair, source, sink, is_inward):
        source.settimeout(LOOK_S)
        while not self._stopping.is_set():
            self._running.wait()
            if pair.is_silent:
                time.sleep(LOOK_S)
                continue
            try:
                chunk = source.recv(CHUNK_BYTES)
                if not chunk:
                    break
                self._running.wait()
                while pair.is_silent and not self._stopping.is_set():
                    time.sleep(LOOK_S)
                sink.sendall(chunk)
            except TimeoutError:
                continue
            except OSError:
                break
            if is_inward and self._bytes_per_s is not None:
                time.sleep(len(chunk) / self._bytes_per_s)
        pair.close()
