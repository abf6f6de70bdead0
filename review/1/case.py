"""The store reader of a zone is killed and restarted just after two backends have left.

Checks DRAIN for the hosts that are never disturbed: no request of theirs may reach a backend later
than drain-s after the store has confirmed the removal of its entry.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import Backend, CannotRun, Host, Record, Store, configuration, finish, trouble  # noqa: E402

ZONE = "zone-a"
DRAIN_S = 2.0
RESTART_DELAY_S = 0.5
OBSERVED_S = 10


def wait_for(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(what)
        time.sleep(0.005)


def run(record, directory, hosts):
    store = Store(record)
    backends = [Backend(f"b{index}", "pages", ZONE, record) for index in range(4)]
    for backend in backends:
        store.put("servers", backend.name, backend.entry())
    store.put("op", "config", configuration(5, "pages"))
    hosts += [Host(f"host-{index}", ZONE, store, directory, record) for index in range(4)]
    for host in hosts:
        host.start()
    for host in hosts:
        host.wait_until_ready()
    time.sleep(4)
    readers = [host for host in hosts if host.reads_store()]
    if len(readers) != 1:
        raise CannotRun(f"{len(readers)} hosts read the store")
    # The reader reads the entries every 0.7 s; the backends leave between two of its reads.
    reads = store.target_reads
    wait_for(lambda: store.target_reads > reads, 5, "the store is not read")
    time.sleep(0.1)
    gone = backends[1]
    store.remove("servers", gone.name)
    confirmed_at = record.now()
    store.put("servers", backends[2].name, backends[2].entry("draining"))
    disturbed = []
    if trouble():
        time.sleep(0.1)
        disturbed = readers
        readers[0].kill()
        time.sleep(RESTART_DELAY_S)
        readers[0].start()
        readers[0].wait_until_ready()
    answered = 0
    sequence = 0
    while record.now() < confirmed_at + OBSERVED_S:
        for host in hosts:
            sequence += 1
            answered += host.call(f"/pages/{sequence}", f"{host.name}.{sequence}") == 200
        time.sleep(0.02)
    if answered < sequence / 2:
        raise CannotRun(f"only {answered} of {sequence} requests were served")
    names = {host.name for host in hosts if host not in disturbed}
    late = [(at - confirmed_at, attempt) for at, attempt in gone.runs
            if at - confirmed_at > DRAIN_S and attempt.split(".")[0] in names]
    record.write(f"result: {len(late)} requests of undisturbed hosts reached {gone.name} later than "
                 f"{DRAIN_S} s after its removal, the last after "
                 f"{max((seconds for seconds, _ in late), default=0):.1f} s; {sequence} sent")
    return 1 if late else 0


def main():
    record = Record(HERE / "record.txt")
    directory = tempfile.mkdtemp(prefix="pimentopin-review-")
    hosts = []
    try:
        result = run(record, directory, hosts)
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        record.write(f"result: cannot run: {error}")
        result = 2
    finally:
        for host in hosts:
            host.kill()
        shutil.rmtree(directory, ignore_errors=True)
    finish(result)


main()
