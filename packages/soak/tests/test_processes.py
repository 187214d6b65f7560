"""Tests of a node's process as the soak sees it."""

import pathlib
import signal
import tempfile
import unittest

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from godwitflow.soak import processes
from godwitflow.standins import fixtures

PLACE = fixtures.NodeEndpoints("n0", "127.0.0.2", "east", 1, 2, 3, 4, 5)


class Process:
    """A process that takes signals, or has ended already."""

    def __init__(self, ended=False):
        self.ended = ended
        self.signals = []

    def signalProcess(self, number):  # noqa: N802
        if self.ended:
            raise error.ProcessExitedAlready()
        self.signals.append(number)


class Reactor(testing.MemoryReactorClock):
    """Starts processes that do nothing."""

    def __init__(self):
        super().__init__()
        self.processes = []

    def spawnProcess(self, *args, **options):  # noqa: N802
        self.processes.append(Process())
        return self.processes[-1]


def ended(code=None, number=None):
    if code is None and number is None:
        return failure.Failure(error.ProcessDone(0))
    return failure.Failure(error.ProcessTerminated(code, number))


class NodeProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.reactor = Reactor()
        self.node = processes.NodeProcess(
            self.reactor,
            PLACE,
            lambda first: b"{}",
            pathlib.Path(folder.name),
        )
        self.node.start()

    def test_signal_to_a_program_that_has_ended_is_no_error(self):
        self.reactor.processes[0].ended = True
        self.node.send(signal.SIGHUP)
        self.assertFalse(self.node.running)

    def test_program_is_started_again_until_it_is_to_stop(self):
        self.reactor.advance(processes.LOADING_S)
        self.node.processEnded(ended(number=signal.SIGKILL))
        self.reactor.advance(processes.RESTART_S)
        self.assertEqual(2, len(self.reactor.processes))
        self.node.stop_for_good()
        self.assertIn(signal.SIGTERM, self.reactor.processes[1].signals)
        self.node.processEnded(ended())
        self.reactor.advance(processes.RESTART_S)
        self.assertEqual(2, len(self.reactor.processes))
        self.assertEqual([-signal.SIGKILL, 0], self.node.lives)

    def test_stop_signal_counts_as_an_end_of_its_own_only_while_loading(self):
        self.node.processEnded(ended(number=signal.SIGTERM))
        self.reactor.advance(processes.RESTART_S)
        self.reactor.advance(processes.LOADING_S)
        self.node.processEnded(ended(number=signal.SIGTERM))
        self.assertEqual([0, -signal.SIGTERM], self.node.lives)
