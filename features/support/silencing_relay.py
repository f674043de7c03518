"""A TCP relay whose open connections can be made silent for good, while new ones pass."""

import ctypes
import select
import socket
import struct
import threading
from concurrent.futures import ThreadPoolExecutor

SO_ATTACH_FILTER = 26
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter of one instruction that takes no packet."""
ACCEPT_WAIT_S = 0.05
BLOCK_BYTES = 64 * 1024


def ignore_packets(connection):
    """Have the system drop what arrives on a connection: nothing is acknowledged any more."""
    code = ctypes.create_string_buffer(RETURN_NOTHING, len(RETURN_NOTHING))
    program = struct.pack("@HP", 1, ctypes.addressof(code))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class SilencingRelay:
    """Passes bytes between its callers and `target` (`host:port`)."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.connections_seen = 0
        self._stopping = threading.Event()
        self._silent = set()
        self._pairs = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_WAIT_S)
        self._pool = ThreadPoolExecutor(64)
        self._loop = self._pool.submit(self._accept)

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def silence(self):
        """Make all connections silent that are open now."""
        for caller, target in list(self._pairs):
            self._silent.add(caller)
            ignore_packets(caller)
            ignore_packets(target)

    def stop(self):
        self._stopping.set()
        self._loop.result()
        self._listener.close()
        self._pool.shutdown()
        for pair in self._pairs:
            for one in pair:
                one.close()

    def _accept(self):
        while not self._stopping.is_set():
            try:
                caller, _ = self._listener.accept()
            except TimeoutError:
                continue
            target = socket.create_connection(self._target)
            self.connections_seen += 1
            self._pairs.append((caller, target))
            self._pool.submit(self._pass, caller, target)

    def _pass(self, caller, target):
        other = {caller: target, target: caller}
        while not self._stopping.is_set() and caller not in self._silent:
            ready, _, _ = select.select([caller, target], [], [], ACCEPT_WAIT_S)
            for one in ready:
                if caller in self._silent:
                    return
                try:
                    block = one.recv(BLOCK_BYTES)
                    if not block:
                        raise ConnectionError
                    other[one].sendall(block)
                except OSError:
                    caller.close()
                    target.close()
                    return
