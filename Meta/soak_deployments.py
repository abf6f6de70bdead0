"""Sizes, load and services of the deployments that Meta/soak runs."""

import collections

# Timeout of the route, deadline of the caller, work and mean size of the response. A fresh kind
# opens a connection for each request; `weight` is its share of the arrivals.
# `spread` is the deviation of the logarithm of the work; without one, work is exponential.
# Planned work may move the kind to the services of `also`.
Kind = collections.namedtuple(
    "Kind",
    "name service method kind timeout_s deadline_s work_s body_bytes fresh weight spread also",
    defaults=((),))

# What is wrong with targets by themselves: one draw for each target and period. A target with
# errors fails this share of its requests, a slow one works four times as long.
Noise = collections.namedtuple("Noise", "period_s errors fails slow")

# `hosts` and the lists of `targets` have one entry for each failure domain, as has `rates`, the
# mean arrivals a second. Without rates, a fixed number of callers sends one request after another.
# `callers` is the number of callers of each failure domain, if the balancer tells them apart.
Deployment = collections.namedtuple(
    "Deployment", "hosts targets slots queue kinds rates noise callers",
    defaults=(Noise(9.0, 0.25, 0.9, 0.15), None))

SMALL = Deployment(
    hosts=None,
    targets={"parts": (2, 2, 2), "jobs": (2, 2, 2), "manuals": (2, 2, 2)},
    slots=4,
    queue=8,
    kinds=(
        Kind("stock", "parts", "GET", "safe", 1.5, 1.5, 0.25, 400, False, 1, None),
        Kind("book", "jobs", "POST", "unsafe", 2.0, 2.0, 0.19, 400, False, 1, None),
        Kind("manual", "manuals", "GET", "download", 1.5, 1.5, 0.15, 300_000, False, 1, None),
        Kind("diagram", "manuals", "GET", "safe", 4.0, 8.0, 0.76, 5_000, True, 1, None),
    ),
    rates=None,
)

ATMRC_GW = Deployment(
    hosts=(12, 12, 8),
    targets={"partsbook": (3, 2, 1), "jobcard": (4, 3, 2), "manuals": (4, 4, 3)},
    slots=3,
    queue=12,
    kinds=(
        Kind("stock-check", "partsbook", "GET", "safe", 1.5, 1.5, 0.25, 400, False, 1.8, 0.8),
        Kind("job-book", "jobcard", "POST", "unsafe", 2.0, 2.0, 0.19, 400, False, 4.3, 0.8),
        Kind("manual-pull", "manuals", "GET", "download", 1.5, 1.5, 0.15, 90_000, False, 0.8, 0.5),
        Kind("diagram-view", "manuals", "GET", "safe", 4.0, 8.0, 0.76, 5_000, True, 1.2, 0.3),
    ),
    rates=(17.7, 22.5, 19.8),
)

DEPLOYMENTS = {"small": SMALL, "atmrc-gw": ATMRC_GW}
