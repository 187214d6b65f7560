"""Tests of starting, signalling and restarting a node's process."""

import pathlib
import signal
import tempfile
import unittest

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from godwitflow.soak import processes
from godwitflow.standins import fixtures

ENDPOINTS = fixtures.NodeEndpoints("n0", "127.0.0.2", "east", 1, 2, 3, 4, 5)


class FakeProcess:
    """Records signals, or raises if it has exited."""

    def __init__(self, exited=False):
        self.exited = exited
        self.signals = []

    def signalProcess(self, number):  # noqa: N802
        if self.exited:
            raise error.ProcessExitedAlready()
        self.signals.append(number)


class FakeReactor(testing.MemoryReactorClock):
    """Spawns fake processes."""

    def __init__(self):
        super().__init__()
        self.processes = []

    def spawnProcess(self, *args, **options):  # noqa: N802
        self.processes.append(FakeProcess())
        return self.processes[-1]


def exit_reason(code=None, number=None):
    if code is None and number is None:
        return failure.Failure(error.ProcessDone(0))
    return failure.Failure(error.ProcessTerminated(code, number))


class NodeProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.reactor = FakeReactor()
        self.node = processes.NodeProcess(
            self.reactor,
            ENDPOINTS,
            lambda first: b"{}",
            pathlib.Path(folder.name),
        )
        self.node.start()

    def test_signal_to_an_exited_program_is_ignored(self):
        self.reactor.processes[0].exited = True
        self.node.send_signal(signal.SIGHUP)
        self.assertFalse(self.node.running)

    def test_program_is_restarted_until_stopped(self):
        self.reactor.advance(processes.STARTUP_S)
        self.node.processEnded(exit_reason(number=signal.SIGKILL))
        self.reactor.advance(processes.RESTART_DELAY_S)
        self.assertEqual(2, len(self.reactor.processes))
        self.node.stop()
        self.assertIn(signal.SIGTERM, self.reactor.processes[1].signals)
        self.node.processEnded(exit_reason())
        self.reactor.advance(processes.RESTART_DELAY_S)
        self.assertEqual(2, len(self.reactor.processes))
        self.assertEqual([-signal.SIGKILL, 0], self.node.exit_codes)

    def test_sigterm_counts_as_clean_exit_only_during_startup(self):
        self.node.processEnded(exit_reason(number=signal.SIGTERM))
        self.reactor.advance(processes.RESTART_DELAY_S)
        self.reactor.advance(processes.STARTUP_S)
        self.node.processEnded(exit_reason(number=signal.SIGTERM))
        self.assertEqual([0, -signal.SIGTERM], self.node.exit_codes)
