"""Renders the command line of a role in deploy/system.toml as the platform does.

A placeholder {{a.b}} or {{a.0}} is replaced by a value of the settings of a process:
lists are joined by commas, tables are rendered as JSON, and a missing value as nothing.
The platform's limits (`bounds`) are a table there, although its settings file lists
them as name=value.
"""

import json
import pathlib
import re
import tomllib

DEPLOY_FILE = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "system.toml"
PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")
# The build of the deploy file puts its programs there.
BUILD_PREFIX = "target/"
# Fields of a role that say where it runs, not how.
ROLE_FIELDS = {"run", "on", "share", "count", "apart", "serves", "metrics"}


def to_json(value):
    return json.dumps(value, separators=(",", ":"))


def look_up(settings, path):
    """Returns the value at a path such as listen.front, all settings for ".", or None."""
    if path == ".":
        return settings
    value = settings
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if key.isdigit() and int(key) < len(value) else None
        else:
            value = value.get(key) if isinstance(value, dict) else None
    return value


def render_value(value):
    if value is None:
        return ""
    if isinstance(value, str):
        return value
    if isinstance(value, list):
        return ",".join(render_value(entry) for entry in value)
    return to_json(value)


def render_word(word, settings):
    def replace(match):
        path, _, form = match[1].partition("|")
        if form not in ("", "json") or not re.fullmatch(r"[a-z0-9.-]+", path):
            raise ValueError(f"{word}: the placeholder {match[0]} is not known")
        value = look_up(settings, path)
        return to_json(value) if form == "json" else render_value(value)

    if "{{" in PLACEHOLDER.sub("", word):
        raise ValueError(f"{word}: the placeholder is not closed or empty")
    rendered = PLACEHOLDER.sub(replace, word)
    if " " in rendered:
        raise ValueError(f"{word}: a word of the command line contains a space: {rendered}")
    return rendered


def role_command(role, program_directory, settings):
    """Returns the command line of a role of the deploy file.

    Raises ValueError if the role has fields that change its processes in another way.
    """
    if unknown := role.keys() - ROLE_FIELDS:
        raise ValueError(f"the checks do not apply {', '.join(sorted(unknown))} of the role")
    program, *words = role["run"].split()
    return [str(pathlib.Path(program_directory) / program.removeprefix(BUILD_PREFIX)),
            *(render_word(word, settings) for word in words)]


def command(program_directory, settings, overrides=None, role="host"):
    """Returns the command line of the role's program in `program_directory`.

    `overrides` maps flags to values that replace those of the deploy file.
    Raises KeyError if the deploy file has no such flag.
    """
    with open(DEPLOY_FILE, "rb") as file:
        arguments = role_command(tomllib.load(file)["roles"][role], program_directory, settings)
    for flag, value in (overrides or {}).items():
        if flag not in arguments:
            raise KeyError(f"{flag} is not in the command line of the role {role}")
        arguments[arguments.index(flag) + 1] = value
    return arguments


def host_settings(name, zone, platform_url, bounds, addresses=("127.0.0.1:0",) * 3,
                  bootstrap=False):
    """Returns the settings of a host with these addresses for callers, operators and peers.

    `bootstrap` says that it starts together with the whole fleet for the first time.
    """
    caller, operator, peer = addresses
    peer_ip, peer_port = peer.rsplit(":", 1)
    return {
        "node": name,
        "zone": zone,
        "ip": peer_ip,
        "port-range": [int(peer_port), int(peer_port)],
        "listen": {"front": caller, "ready-addr": operator},
        "provider": {"addr": platform_url.removeprefix("http://")},
        "limits": {"cpu-share": 0.2, "link-mbps": 1000.0, "memory-mb": 260},
        "bounds": bounds,
        "bootstrap": bootstrap,
    }
