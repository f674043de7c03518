"""A stand-in of a worker as a process that is killed and started again."""

import json
import subprocess
import sys

MODULE = "bellweir_rehearsal.hosted.worker_process"


class WorkerProcess:
    """One worker through its starts; `close` ends it."""

    def __init__(self, instance, model, ran_file):
        self.instance = instance
        self._model, self._ran_file = model, ran_file
        self._port = "0"
        self._begin()

    def _begin(self):
        command = [sys.executable, "-m", MODULE, self.instance, self._port, self._model, "1"]
        self._process = subprocess.Popen([*command, str(self._ran_file)], stdout=subprocess.PIPE)
        self._told = json.loads(self._process.stdout.readline())
        self._port = self._told["address"].partition(":")[2]

    def entry(self, service):
        """The entry that the start which runs writes."""
        return {**self._told, "service": service}

    def kill_and_start(self):
        self.close()
        self._begin()

    def ran(self):
        """Ids of the requests that began to run, at any start."""
        return self._ran_file.read_text().split() if self._ran_file.exists() else []

    def close(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()
