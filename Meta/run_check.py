"""Compares the results that callers received with the runs at the targets.

The check uses only the records of the load generator and the ledgers of the
targets, so that it does not depend on what the hosts report.
"""

import collections
import json


class RunCheck:
    """Counts of one load run. `failures` lists the violations of the guarantees."""

    def __init__(self, records, ledgers, idempotent_streams):
        self.records = records
        self.failures = []
        self.counts = collections.Counter()
        runs_by_request = collections.Counter()
        runs_by_key = collections.Counter()
        for runs in ledgers.values():
            for run in runs:
                runs_by_request[run["request_id"]] += 1
                if run["idempotency_key"]:
                    runs_by_key[run["idempotency_key"]] += 1
        self.completed_keys = {
            record["idempotency_key"]
            for record in records
            if record["idempotency_key"] and record["whole"] and record["outcome"] == "target"
        }
        for record in records:
            self._check(record, runs_by_request, idempotent_streams)
        for key, runs in runs_by_key.items():
            if runs > 1:
                self._fail("doubled", f"key {key} ran {runs} times")

    def _check(self, record, runs_by_request, idempotent_streams):
        request_id = record["request_id"]
        runs = runs_by_request[request_id]
        self.counts["sent"] += 1
        if not record["connected"]:
            # A load balancer would not have selected a host that does not listen.
            self._fail("refused connection", f"{request_id}: the host does not listen")
        elif not record["whole"]:
            self._fail("broken", f"{request_id}: the response was incomplete")
        elif record["outcome"] == "not-run":
            self.counts["not-run"] += 1
            if runs > 0:
                self._fail("false not-run", f"{request_id} ran {runs} times")
        elif record["outcome"] == "unknown":
            # A duplicate that arrived while the other request was in progress has the result of
            # that request.
            settled = record["idempotency_key"] in self.completed_keys
            self.counts["unknown, settled by its copy" if settled else "unknown"] += 1
        elif record["status"] == 200 and not record["own"]:
            self._fail("mixed up", f"{request_id}: the response belongs to another request")
        else:
            self.counts["answered"] += 1
            if runs == 0 and not record["replayed"] and record["reason"] != "already-run":
                self._fail("invented", f"{request_id} received a response, but no target ran it")
        if runs > 1 and record["stream"] not in idempotent_streams:
            self._fail("doubled", f"{request_id} ran {runs} times")

    def _fail(self, kind, text):
        self.counts[kind] += 1
        self.failures.append(f"{kind}: {text}")

    def summary(self):
        return ", ".join(f"{count} {kind}" for kind, count in sorted(self.counts.items()))


def read_records(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]
