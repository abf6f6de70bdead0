#!/usr/bin/env python3
"""Measures the latency added by a host, with real processes on loopback.

Each load run sends requests alternately through a host and directly to the
targets, so that both run under the same conditions. Prints a table and one line
of JSON per rate. The bound on the added latency is 1.3 ms at the 99th percentile.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleet as fleet_module  # noqa: E402
from run_check import read_records  # noqa: E402

BOUND_MS = 1.3
SERVICE_TIME_MS = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def configuration(target_count, slots):
    return {
        "organisations": [{"name": "bench", "labels": {}}],
        "callers": [{"name": "bench-caller", "organisation": "bench", "labels": {}}],
        "services": [
            {"name": "echo", "floor_slots": slots, "deadline_ms": 5000, "queue_limit": 1000}
        ],
        "targets": [
            {
                "name": f"echo-{index}",
                "service": "echo",
                "address": f"127.0.0.1:{9000 + index}",
                "domain": f"domain-{index % 3}",
                "slots": slots,
                "connections": 300,
                "labels": {},
                "leaving": False,
            }
            for index in range(target_count)
        ],
        "access": [{"callers": {}, "targets": {}, "services": ["echo"]}],
        "work": [],
    }


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def percentile(values, share):
    return sorted(values)[int(share * (len(values) - 1))] if values else float("nan")


def latencies_ms(records, direct):
    return [r["latency_us"] / 1e3 for r in records if r["direct"] == direct and r["status"] == 200]


def run_load_generator(fleet, rate, duration_s, seed):
    plan = fleet.directory / "plan.json"
    stream = {
        "name": "echo", "service": "echo", "callers": ["bench-caller"],
        "path": "/item", "rate_per_s": rate, "size": 1000,
    }
    plan.write_text(json.dumps({"streams": [stream]}))
    records = fleet.directory / "records.jsonl"
    direct = ",".join(p.listening_address() for p in fleet.targets.values())
    subprocess.run(
        [
            fleet.program("Bench/Load/pimentopin-load"),
            "--plan", str(plan),
            "--hosts", ",".join(fleet.caller_addresses()),
            "--direct", f"echo={direct}",
            "--duration-ms", str(int(duration_s * 1000)),
            "--seed", str(seed),
            "--records", str(records),
        ],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    return read_records(records)


def measure(fleet, rate, duration_s, seed, revision):
    cpu_before = sum(cpu_seconds(host.child.pid) for host in fleet.hosts)
    started = time.monotonic()
    records = run_load_generator(fleet, rate, duration_s, seed)
    elapsed = time.monotonic() - started
    cpu = sum(cpu_seconds(host.child.pid) for host in fleet.hosts) - cpu_before
    through_host, direct = latencies_ms(records, False), latencies_ms(records, True)
    failed = sum(1 for record in records if record["status"] != 200)
    return {
        "bench": "overhead", "revision": revision, "seed": seed, "hosts": len(fleet.hosts),
        "rate_per_s": rate, "requests_through_hosts": len(through_host), "failed": failed,
        "direct_p50_ms": percentile(direct, 0.5), "direct_p99_ms": percentile(direct, 0.99),
        "host_p50_ms": percentile(through_host, 0.5), "host_p99_ms": percentile(through_host, 0.99),
        "added_p50_ms": percentile(through_host, 0.5) - percentile(direct, 0.5),
        "added_p99_ms": percentile(through_host, 0.99) - percentile(direct, 0.99),
        "host_cpu_s": cpu, "elapsed_s": elapsed,
        "requests_per_cpu_s": len(through_host) / cpu if cpu else float("nan"),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument(
        "--rates", default="100,400,1000", help="requests/s through hosts and directly, in total"
    )
    parser.add_argument("--duration", type=float, default=15, help="seconds per rate")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--revision", default="unknown")
    arguments = parser.parse_args()
    with fleet_module.Fleet(
        "overhead", configuration(arguments.targets, arguments.slots), arguments.hosts
    ) as fleet:
        fleet.start({"echo": SERVICE_TIME_MS})
        # Opens the connections before the measurement.
        run_load_generator(fleet, 100, 3, arguments.seed)
        rows = [
            measure(fleet, float(rate), arguments.duration, arguments.seed, arguments.revision)
            for rate in arguments.rates.split(",")
        ]
    print(f"{'rate/s':>8} {'direct p50':>11} {'p99':>8} {'host p50':>10} {'p99':>8} "
          f"{'added p50':>10} {'p99':>8} {'bound':>6} {'req/cpu-s':>10} {'failed':>7}")
    for row in rows:
        print(f"{row['rate_per_s']:>8.0f} {row['direct_p50_ms']:>11.2f} {row['direct_p99_ms']:>8.2f} "
              f"{row['host_p50_ms']:>10.2f} {row['host_p99_ms']:>8.2f} {row['added_p50_ms']:>10.2f} "
              f"{row['added_p99_ms']:>8.2f} {'met' if row['added_p99_ms'] <= BOUND_MS else 'MISSED':>6} "
              f"{row['requests_per_cpu_s']:>10.0f} {row['failed']:>7}")
    for row in rows:
        print(json.dumps(row))
    return 0


if __name__ == "__main__":
    sys.exit(main())
