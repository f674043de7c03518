"""A node that consists of the resource service, over a store and the configuration it gives."""

import threading

from bellweir.clients.interface import PlatformClients
from bellweir.configuration.history import ConfigurationHistory, StateHistory
from bellweir.configuration.interface import Configuration, RevisionCensus
from bellweir.configuration.reader import StoreReader
from bellweir.configuration.state import ConfigurationState
from bellweir.kernel import names
from bellweir.kernel.clock import ManualClock
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.resources.service import ResourcesService
from bellweir.settings.models import NodeIdentity, PlatformSettings, Settings


class StoreOnlyPlatform(Service, PlatformClients):
    name = names.PLATFORM

    def __init__(self, store):
        self.store = store

    def object_store(self):
        return self.store

    def start(self):
        pass

    def stop(self):
        pass

    def _none(self, *arguments):
        raise NotImplementedError

    machine_list = weight_store = engine = application = scorer = close = _none


class PumpedConfiguration(Service, Configuration, ConfigurationHistory, RevisionCensus):
    """Follows the store whenever it is asked to wait, unless it is told to lag."""

    name = names.CONFIGURATION

    def __init__(self, store):
        self.state = ConfigurationState("node")
        self.history = StateHistory(self.state)
        self.reader = StoreReader("node", "zone", store, self.state, ManualClock(), lambda: True)
        self.lagging = False
        self.counted = None
        """What `spread` gives; None as on a node that does not report."""

    def spread(self):
        return self.counted

    def follow(self):
        self.reader.read_once(threading.Event())
        self.reader.read_once(threading.Event())

    def wait_for(self, revision, timeout_s):
        if not self.lagging:
            self.follow()
        return self.state.wait_for(revision, 0.0)

    def current(self):
        return self.state.current()

    def is_ready(self):
        return self.state.loaded

    def subscribe(self, listener):
        raise NotImplementedError

    def revision(self):
        return self.history.revision()

    def document(self, kind, name):
        return self.history.document(kind, name)

    def documents(self, kind):
        return self.history.documents(kind)

    def changes_after(self, revision):
        return self.history.changes_after(revision)

    def start(self):
        pass

    def stop(self):
        pass


class ResourceNode:
    def __init__(self, store):
        self.store = store
        self.kernel = Kernel(bind_listeners("127.0.0.1", 0, 0), clock=ManualClock())
        self.configuration = PumpedConfiguration(store)
        settings = Settings(
            node=NodeIdentity(name="node"), platform=PlatformSettings(object_api="store:1")
        )
        self.resources = ResourcesService(self.kernel, settings)
        for service in (StoreOnlyPlatform(store), self.configuration, self.resources):
            self.kernel.registry.register(service)
        self.kernel.registry.start()
        self.configuration.follow()

    def close(self):
        self.kernel.registry.stop()
        self.kernel.listeners.close()
        self.kernel.executors.stop()
