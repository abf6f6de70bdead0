"""Runs hosts, and stand-ins for the platform and the targets, on loopback.

Used by Meta/demo, Meta/bench, Meta/fault-matrix and Meta/platform-check. Each
process listens on a port that the kernel chooses. Processes are stopped by their
process id only.
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

import deploy_file

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_LIMIT_S = 20
STOP_LIMIT_S = 30


def wait_until(condition, limit_s, description):
    """Polls until condition() is true and returns its value.

    Raises RuntimeError with `description` after limit_s seconds.
    """
    deadline = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {limit_s} s: {description}")
        time.sleep(0.02)


def http(method, url, body=None, timeout_s=5, headers=None):
    """Returns (status, decoded JSON or text). Raises OSError if unreachable."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Process:
    """Running program whose standard output and standard error go to files."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.out_path = directory / f"{name}.out"
        self.log_path = directory / f"{name}.log"
        with open(self.out_path, "wb") as out, open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(arguments, stdout=out, stderr=log)

    def listening_address(self):
        """Returns the address from the line `listening IP:PORT` of a stand-in."""

        def read():
            self._check_running()
            for line in self.out_path.read_text().splitlines():
                if line.startswith("listening "):
                    return line.split()[1]
            return None

        return wait_until(read, START_LIMIT_S, f"{self.name} to listen")

    def runs(self):
        """Returns the runs that a target stand-in has started."""
        lines = self.out_path.read_text().splitlines()
        return [json.loads(line[4:]) for line in lines if line.startswith("run ")]

    def log_events(self, event):
        """Returns the log lines of the event as dictionaries."""
        events = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                try:
                    events.append(json.loads(line))
                except ValueError:
                    continue  # The line is still being written.
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
    """Host process that listens on ports of the kernel's choice."""

    def __init__(self, name, domain, arguments, directory):
        super().__init__(name, arguments, directory)
        # A host writes its log to standard output.
        self.log_path = self.out_path
        self.domain = domain
        self.caller_address = None
        self.operator_address = None

    def wait_until_started(self):
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
        """Starts all processes and applies the configuration."""
        self.start_platform()
        for target in self.configuration["targets"]:
            self.start_target(target, service_times_ms or {})
        for target in self.configuration["targets"]:
            target["address"] = self.targets[target["name"]].listening_address()
        domains = sorted({target["domain"] for target in self.configuration["targets"]})
        for index in range(self.host_count):
            self.start_host(f"{self.label}-host-{index}", domains[index % len(domains)])
        for host in self.hosts:
            host.wait_until_started()
        self.apply(self.configuration)
        self.wait_for_revision(self.revision, 10)
        self.wait_until_ready(10)

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
        arguments = [
            self.program("Programs/pimentopin/pimentopin"),
            "--name", name,
            "--domain", domain,
            "--caller-address", "127.0.0.1:0",
            "--operator-address", "127.0.0.1:0",
            "--peer-address", "127.0.0.1:0",
            "--platform-url", self.platform_url,
            "--shutdown-delay-ms", str(self.shutdown_delay_ms),
        ]
        host = Host(name, domain, arguments, self.directory)
        self.hosts.append(host)
        return host

    def start_deployed_host(self, name, domain, bounds, overrides, bootstrap=False):
        """Starts a host with the command line of the deploy file."""
        settings = deploy_file.host_settings(name, domain, self.platform_url, bounds,
                                             bootstrap=bootstrap)
        host = Host(name, domain, deploy_file.command(self.build, settings, overrides),
                    self.directory)
        self.hosts.append(host)
        return host

    def run_pimentopinctl(self, *arguments):
        """Runs pimentopinctl with the addresses of all hosts; returns (exit code, output)."""
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
        code, output = self.run_pimentopinctl(
            "apply", str(path), "--base", str(self.revision), "--author", author
        )
        if code != 0:
            raise RuntimeError(f"pimentopinctl apply exited with {code}: {output}")
        self.revision += 1
        self.configuration = configuration

    def wait_for_revision(self, revision, limit_s):
        """Waits until all hosts have adopted the revision; returns the elapsed seconds."""
        started = time.monotonic()
        for host in self.hosts:
            wait_until(
                lambda host=host: host.status()["revision"] >= revision,
                limit_s,
                f"{host.name} to adopt revision {revision}",
            )
        return time.monotonic() - started

    def wait_until_ready(self, limit_s):
        for host in self.hosts:
            wait_until(host.is_ready, limit_s, f"{host.name} to be ready")

    def set_target_faults(self, name, mode):
        address = self.targets[name].listening_address()
        status, body = http("POST", f"http://{address}/control", mode)
        if status != 200:
            raise RuntimeError(f"setting the faults of {name} failed with status {status}: {body}")

    def write_row(self, table, key, value):
        """Writes a row of the platform's store; removes it if the value is None."""
        row = {"table": table, "key": key}
        if value is not None:
            row["value"] = json.dumps(value)
        status, body = http("POST", f"{self.platform_url}/rows", row)
        if status != 200:
            raise RuntimeError(f"writing {table}/{key} failed: {body}")

    def set_platform_faults(self, faults):
        status, body = http("POST", f"{self.platform_url}/faults", faults)
        if status != 200:
            raise RuntimeError(f"setting the faults of the platform failed with status {status}: {body}")

    def copy_store(self):
        """Takes a copy of the platform's store."""
        self._post_to_platform("copy")

    def return_store(self):
        """Makes the platform's store come back from its last copy, in a new era."""
        self._post_to_platform("return")

    def _post_to_platform(self, path):
        status, body = http("POST", f"{self.platform_url}/{path}")
        if status != 200:
            raise RuntimeError(f"POST /{path} to the platform failed with status {status}: {body}")

    def ledgers(self):
        """Returns the started runs by target name, including targets that were killed."""
        return {name: process.runs() for name, process in self.targets.items()}

    def caller_addresses(self):
        return [host.caller_address for host in self.hosts]

    def stop_hosts(self):
        """Stops all hosts gracefully; returns their exit codes."""
        for host in self.hosts:
            host.send_signal(signal.SIGTERM)
        return [host.wait() for host in self.hosts]

    def stop(self):
        processes = [*self.hosts, *self.targets.values()]
        if self.platform:
            processes.append(self.platform)
        for process in processes:
            process.kill()
