"""Starts a fleet of hosts with stand-ins for platform and targets on loopback.

Used by Meta/demo, Meta/bench and Meta/fault-matrix. Every process is started
here, listens on a port that the kernel chooses, and is ended by its id.
"""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_LIMIT_S = 20
STOP_LIMIT_S = 30


def wait_until(condition, limit_s, what):
    """Polls until condition() is true; raises with `what` after limit_s seconds."""
    give_up_at = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > give_up_at:
            raise RuntimeError(f"timed out after {limit_s} s: {what}")
        time.sleep(0.02)


def http(method, url, body=None, timeout_s=5, headers=None):
    """Returns (status, decoded JSON or text). Raises OSError if unreachable."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            status, text = answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Process:
    """A started program whose standard output and error go to files."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.out_path = directory / f"{name}.out"
        self.log_path = directory / f"{name}.log"
        with open(self.out_path, "wb") as out, open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(arguments, stdout=out, stderr=log)

    def listening_address(self):
        """Address from the line `listening IP:PORT` of a stand-in."""

        def read():
            self._check_running()
            for line in self.out_path.read_text().splitlines():
                if line.startswith("listening "):
                    return line.split()[1]
            return None

        return wait_until(read, START_LIMIT_S, f"{self.name} to listen")

    def runs(self):
        """Runs that a target stand-in started."""
        lines = self.out_path.read_text().splitlines()
        return [json.loads(line[4:]) for line in lines if line.startswith("run ")]

    def log_events(self, event):
        """Log lines of that event, as dictionaries."""
        events = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                try:
                    events.append(json.loads(line))
                except ValueError:
                    continue  # a line that is still being written
        return events

    def send_signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, limit_s=STOP_LIMIT_S):
        return self.child.wait(timeout=limit_s)

    def kill(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def _check_running(self):
        if self.child.poll() is not None:
            log = self.log_path.read_text(errors="replace")[-2000:]
            raise RuntimeError(f"{self.name} exited with {self.child.returncode}: {log}")


class Host(Process):
    """One pimentopin host process."""

    def __init__(self, name, domain, platform_url, binary, directory, shutdown_delay_ms, extra=()):
        super().__init__(
            name,
            [
                binary,
                "--name", name,
                "--domain", domain,
                "--caller-address", "127.0.0.1:0",
                "--operator-address", "127.0.0.1:0",
                "--peer-address", "127.0.0.1:0",
                "--platform-url", platform_url,
                "--shutdown-delay-ms", str(shutdown_delay_ms),
                *extra,
            ],
            directory,
        )
        # A host logs to standard output.
        self.log_path = self.out_path
        self.domain = domain
        self.caller_address = None
        self.operator_address = None

    def await_start(self):
        def read():
            self._check_running()
            return self.log_events("host_started")

        started = wait_until(read, START_LIMIT_S, f"{self.name} to start")[0]
        self.caller_address = started["caller_address"]
        self.operator_address = started["operator_address"]

    def status(self):
        return http("GET", f"http://{self.operator_address}/admin/v1/status")[1]

    def is_ready(self):
        try:
            return http("GET", f"http://{self.operator_address}/readyz")[0] == 200
        except OSError:
            return False


class Fleet:
    """Platform, targets and hosts of one deployment."""

    def __init__(self, label, configuration, host_count, shutdown_delay_ms=500):
        self.label = label
        self.configuration = json.loads(json.dumps(configuration))
        self.build = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix=f"pimentopin-{label}-"))
        self.host_count = host_count
        self.shutdown_delay_ms = shutdown_delay_ms
        self.platform = None
        self.platform_url = None
        self.targets = {}
        self.hosts = []
        self.revision = 0

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    def program(self, relative):
        return str(self.build / relative)

    def start(self, service_times_ms=None):
        """Starts everything and applies the configuration."""
        self.start_platform()
        for target in self.configuration["targets"]:
            self.start_target(target, service_times_ms or {})
        for target in self.configuration["targets"]:
            target["address"] = self.targets[target["name"]].listening_address()
        domains = sorted({target["domain"] for target in self.configuration["targets"]})
        for index in range(self.host_count):
            self.start_host(f"{self.label}-host-{index}", domains[index % len(domains)])
        for host in self.hosts:
            host.await_start()
        self.apply(self.configuration)
        self.await_revision(self.revision, 10)
        self.await_ready(10)

    def start_platform(self):
        self.platform = Process(
            "platform",
            [self.program("Tests/StandIns/Platform/platform-stand-in"), "--address", "127.0.0.1:0"],
            self.directory,
        )
        self.platform_url = "http://" + self.platform.listening_address()

    def start_target(self, target, service_times_ms):
        service_time_ms = service_times_ms.get(target["service"], 10)
        self.targets[target["name"]] = Process(
            target["name"],
            [
                self.program("Tests/StandIns/Target/target-stand-in"),
                "--address", "127.0.0.1:0",
                "--name", target["name"],
                "--service", target["service"],
                "--slots", str(target["slots"]),
                "--service-time-ms", str(service_time_ms),
                "--long-time-ms", str(service_time_ms * 30),
                "--print-runs",
            ],
            self.directory,
        )

    def start_host(self, name, domain):
        host = Host(
            name,
            domain,
            self.platform_url,
            self.program("Programs/pimentopin/pimentopin"),
            self.directory,
            self.shutdown_delay_ms,
        )
        self.hosts.append(host)
        return host

    def control_tool(self, *arguments):
        """Runs pimentopinctl against any host; returns (exit code, output)."""
        hosts = []
        for host in self.hosts:
            hosts += ["--host", host.operator_address]
        run = subprocess.run(
            [self.program("Programs/pimentopinctl/pimentopinctl"), *arguments, *hosts],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=60,
            check=False,
        )
        return run.returncode, run.stdout

    def apply(self, configuration, author="meta"):
        path = self.directory / "configuration.json"
        path.write_text(json.dumps(configuration, indent=1))
        code, output = self.control_tool(
            "apply", str(path), "--base", str(self.revision), "--author", author
        )
        if code != 0:
            raise RuntimeError(f"apply failed with {code}: {output}")
        self.revision += 1
        self.configuration = configuration

    def await_revision(self, revision, limit_s):
        """Seconds until every host has the revision in force."""
        started = time.monotonic()
        for host in self.hosts:
            wait_until(
                lambda host=host: host.status()["revision"] >= revision,
                limit_s,
                f"{host.name} to adopt revision {revision}",
            )
        return time.monotonic() - started

    def await_ready(self, limit_s):
        for host in self.hosts:
            wait_until(host.is_ready, limit_s, f"{host.name} to be ready")

    def target_control(self, name, mode):
        address = self.targets[name].listening_address()
        status, body = http("POST", f"http://{address}/control", mode)
        if status != 200:
            raise RuntimeError(f"control of {name} failed with {status}: {body}")

    def platform_faults(self, faults):
        status, body = http("POST", f"{self.platform_url}/faults", faults)
        if status != 200:
            raise RuntimeError(f"setting platform faults failed with {status}: {body}")

    def ledgers(self):
        """Runs started by every target, also by those that were killed, by name."""
        return {name: process.runs() for name, process in self.targets.items()}

    def caller_addresses(self):
        return [host.caller_address for host in self.hosts]

    def stop_hosts(self):
        """Graceful stop of all hosts; returns the exit codes."""
        for host in self.hosts:
            host.send_signal(signal.SIGTERM)
        return [host.wait() for host in self.hosts]

    def stop(self):
        processes = [*self.hosts, *self.targets.values()]
        if self.platform:
            processes.append(self.platform)
        for process in processes:
            process.kill()
