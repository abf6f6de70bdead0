"""Tests that the options and faults of the checks in Meta have an effect."""

import importlib.machinery
import importlib.util
import pathlib
import subprocess
import sys
import unittest

META = pathlib.Path(__file__).resolve().parents[2] / "Meta"


def run(*words):
    """Returns the exit code and the output."""
    result = subprocess.run([META / words[0], *words[1:]], stdout=subprocess.PIPE,
                            stderr=subprocess.STDOUT, text=True, timeout=60, check=False)
    return result.returncode, result.stdout


def load(name):
    """Returns a program in Meta as a module."""
    sys.path.insert(0, str(META))
    loader = importlib.machinery.SourceFileLoader(name.replace("-", "_"), str(META / name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(loader.name, loader))
    loader.exec_module(module)
    return module


class Stores:
    """State of the platform's stores, as the stand-in keeps it."""

    def __init__(self):
        self.state = {"table": "up", "objects": "up"}

    def set_platform_faults(self, faults):
        self.state.update(faults)


class OptionsTest(unittest.TestCase):
    def test_fault_matrix_passes_without_a_case(self):
        """A line of CI whose case has another name now would check nothing."""
        code, output = run("fault-matrix", "--only", "no such fault")
        self.assertEqual(2, code, output)
        self.assertIn("no such fault", output)
        code, output = run("fault-matrix", "--only", "table loses answers", "--seeds", "0")
        self.assertEqual(2, code, output)

    def test_fault_of_the_platform_never_ends(self):
        """The cases would check no recovery."""
        fault_matrix = load("fault-matrix")
        for faults in ({"table": "down"}, {"objects": "down"}, {"table": "slow", "objects": "slow"}):
            stores = Stores()
            fault_matrix.platform_faults(**faults)(stores)
            self.assertEqual({"table": "up", "objects": "up", **faults}, stores.state)
            fault_matrix.platform_faults()(stores)
            self.assertEqual({"table": "up", "objects": "up"}, stores.state)

    def test_soak_ignores_an_option(self):
        """Its result would be taken for that of another load."""
        for words in ("--day rolling", "--deployment atmrc-gw --hosts 4",
                      "--deployment atmrc-gw --callers 9", "--deployment atmrc-gw --pipelining 0.6",
                      "--load 2", "--fresh 50", "--numbered 5", "--series domains",
                      "--quota-period 1", "--pause-at any", "--table-lapse 0.5",
                      "--table down --table-slow-ms 700"):
            with self.subTest(words):
                code, output = run("soak", "--seconds", "0.1", *words.split())
                self.assertEqual(2, code, output)
                self.assertIn("has no effect", output)


if __name__ == "__main__":
    unittest.main()
