"""Tests of the dispatcher's reports of crashes."""

import unittest

from godwitflow.daemon import dispatch
from godwitflow.daemon import tracing
from godwitflow.policy import jobs
from godwitflow.tier import metrics


class CrashReportTest(unittest.TestCase):
    def new_dispatcher(self):
        return dispatch.Dispatcher(
            None,
            lambda: 0.0,
            None,
            None,
            lambda node, message: None,
            metrics.Metrics(),
            tracing.Tracing("d", 0.0, ()),
        )

    def report_crash(self, dispatcher):
        action = jobs.StartCall(1, "u1", ())
        dispatcher._report_crash(action)

    def test_crash_without_a_listener_is_no_error(self):
        self.report_crash(self.new_dispatcher())

    def test_listener_is_told_of_a_crash(self):
        dispatcher = self.new_dispatcher()
        told = []
        dispatcher.on_crash = told.append
        self.report_crash(dispatcher)
        self.assertEqual(1, len(told))
