"""Tests of Meta/deploy_file.py, which renders command lines as the platform does."""

import pathlib
import sys
import tomllib
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Meta"))
import deploy_file  # noqa: E402

SETTINGS = {
    "node": "front-a-1",
    "zone": "a",
    "bootstrap": True,
    "seeds": [],
    "ports": [7300, 7315],
    "limits": {"cpu-share": 0.25, "cores": 1, "link-mbps": 100.0},
    "data-dir": None,
}
# As `fleetbench wire` renders such placeholders.
RENDERED = {
    "--name={{node}}": "--name=front-a-1",
    "{{zone}}-{{node}}": "a-front-a-1",
    "{{bootstrap}}": "true",
    "{{ports}}": "7300,7315",
    "{{ports.1}}": "7315",
    "{{ports.7}}": "",
    "{{seeds}}": "",
    "{{missing}}": "",
    "{{data-dir}}": "",
    "{{node.front}}": "",
    "{{limits.cpu-share}}": "0.25",
    "{{limits.link-mbps}}": "100.0",
    "{{limits}}": '{"cpu-share":0.25,"cores":1,"link-mbps":100.0}',
    "{{limits|json}}": '{"cpu-share":0.25,"cores":1,"link-mbps":100.0}',
    "{{ports|json}}": "[7300,7315]",
    "{{seeds|json}}": "[]",
    "{{node|json}}": '"front-a-1"',
    "{{missing|json}}": "null",
    "{{.|json}}": '{"node":"front-a-1","zone":"a","bootstrap":true,"seeds":[],"ports":[7300,7315],'
                  '"limits":{"cpu-share":0.25,"cores":1,"link-mbps":100.0},"data-dir":null}',
}


class DeployFileTest(unittest.TestCase):
    def test_value_is_rendered_otherwise_than_by_the_platform(self):
        for word, expected in RENDERED.items():
            with self.subTest(word):
                self.assertEqual(expected, deploy_file.render_word(word, SETTINGS))

    def test_unknown_placeholder_is_passed_on(self):
        for word in ("{{node|toml}}", "{{#ports}}", "{{}}"):
            with self.subTest(word), self.assertRaises(ValueError):
                deploy_file.render_word(word, SETTINGS)

    def test_field_of_the_role_is_not_in_force(self):
        """A check that leaves out what the platform applies starts another program."""
        for field in ("env = { PIMENTOPIN_LOG_LEVEL = 'debug' }", "template = 'deploy/node.toml'"):
            role = tomllib.loads(f"run = 'target/host --name x'\non = 'front'\n{field}")
            with self.subTest(field), self.assertRaises(ValueError):
                deploy_file.role_command(role, "build", SETTINGS)

    def test_placeholder_of_the_deploy_file_has_no_value_in_the_checks(self):
        settings = deploy_file.host_settings("host-1", "zone-a", "http://127.0.0.1:1", {"grace-s": 6})
        with open(deploy_file.DEPLOY_FILE, "rb") as file:
            words = tomllib.load(file)["roles"]["host"]["run"].split()
        for word in words:
            for placeholder in deploy_file.PLACEHOLDER.findall(word):
                with self.subTest(placeholder):
                    self.assertNotEqual(
                        "", deploy_file.render_word("{{%s}}" % placeholder, settings))

    def test_flag_that_is_not_in_the_deploy_file_is_replaced(self):
        settings = deploy_file.host_settings("host-1", "zone-a", "http://127.0.0.1:1", {})
        command = deploy_file.command("build", settings, {"--shutdown-delay-ms": "7"})
        self.assertEqual("7", command[command.index("--shutdown-delay-ms") + 1])
        with self.assertRaises(KeyError):
            deploy_file.command("build", settings, {"--shutdown-dealy-ms": "7"})


if __name__ == "__main__":
    unittest.main()
