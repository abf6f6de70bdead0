"""Tests that the checks in Meta reject options that would have no effect."""

import pathlib
import subprocess
import unittest

META = pathlib.Path(__file__).resolve().parents[2] / "Meta"


def run(*words):
    """Returns the exit code and the output."""
    result = subprocess.run([META / words[0], *words[1:]], stdout=subprocess.PIPE,
                            stderr=subprocess.STDOUT, text=True, timeout=60, check=False)
    return result.returncode, result.stdout


class OptionsTest(unittest.TestCase):
    def test_fault_matrix_passes_without_a_case(self):
        """A line of CI whose case has another name now would check nothing."""
        code, output = run("fault-matrix", "--only", "no such fault")
        self.assertEqual(2, code, output)
        self.assertIn("no such fault", output)
        code, output = run("fault-matrix", "--only", "table loses answers", "--seeds", "0")
        self.assertEqual(2, code, output)

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
