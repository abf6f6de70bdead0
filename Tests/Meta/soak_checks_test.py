"""Tests that Meta/soak fails for requests that ran against what their callers were told."""

import contextlib
import io
import pathlib
import shutil
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from options_test import load  # noqa: E402

soak_module = load("soak")
import soak_deployments  # noqa: E402
import soak_targets  # noqa: E402

KINDS = {kind.kind: kind for kind in soak_deployments.SMALL.kinds}


class SoakChecksTest(unittest.TestCase):
    def setUp(self):
        options = types.SimpleNamespace(seed=1, day="", slots=0, attempts=2)
        self.soak = soak_module.Soak(options, soak_deployments.SMALL, None, None)
        self.addCleanup(shutil.rmtree, self.soak.fleet.directory)

    def failures(self, kind, status, outcome="", runs=1, is_keyed=False):
        """Returns the first words of the failures of a request that ended so."""
        self.soak.failures.clear()
        host = types.SimpleNamespace(name="host-0", ready=True)
        request = soak_targets.Request("1-0", KINDS[kind], host)
        request.sent_at = request.ended_at = 1.0
        request.status = status
        request.outcome = outcome
        request.is_keyed = is_keyed
        request.runs = [soak_targets.Run("target-0", "parts") for _ in range(runs)]
        with contextlib.redirect_stdout(io.StringIO()):
            self.soak.check_runs(request)
        return [text.split()[0] for text in self.soak.failures]

    def test_refused_request_ran(self):
        for kind in ("safe", "download", "unsafe"):
            for status in (408, 421, 429, 503):
                self.assertEqual(["REFUSED"], self.failures(kind, status))
                self.assertEqual([], self.failures(kind, status, runs=0))
            self.assertEqual(["REFUSED"], self.failures(kind, 504, "not-run"))

    def test_request_without_a_promise_ran(self):
        for kind in ("safe", "download", "unsafe"):
            for status in (200, 500, 502, 504, None):
                self.assertEqual([], self.failures(kind, status))

    def test_request_ran_twice(self):
        self.assertEqual(["TWICE"], self.failures("unsafe", 200, runs=2))
        self.assertEqual(["TWICE"], self.failures("safe", 200, runs=2, is_keyed=True))
        self.assertEqual(["REFUSED", "TWICE"], self.failures("unsafe", 503, runs=2))
        for kind in ("safe", "download"):
            self.assertEqual([], self.failures(kind, 200, runs=2))


if __name__ == "__main__":
    unittest.main()
