"""Runs a deployment under load while balancers, backend servers and the configuration change."""

import argparse
import json
import signal
import sys
import time

from deployment import ROOT, Deployment, collect_reports, http, evaluate, log

MUST_BE_ZERO = ["doubled", "lost", "brokenFlows", "misdelivered", "falseNotRun", "feedGaps",
                "notOpened", "unexpectedBytes"]
DRAIN_LIMIT_SECONDS = 2.0
CONFIGURATION_LIMIT_SECONDS = 5.0


def drain_seconds(deployment, name, notice_time):
    """Returns the seconds from the drain notice to the last request that the agent submitted.

    Watches the agent for 4 s.
    """
    last_change = notice_time
    submitted = deployment.state(name)["requests"]["submitted"]
    end = time.monotonic() + 4
    while time.monotonic() < end:
        now_submitted = deployment.state(name)["requests"]["submitted"]
        if now_submitted != submitted:
            submitted = now_submitted
            last_change = time.monotonic()
        time.sleep(0.02)
    return last_change - notice_time


def run_demo(deployment, seconds):
    first, second = deployment.services
    callers = [
        deployment.start_callers("callers-first", first, "10.99.0.1", seconds, orders=40, feeds=60,
                                 manifests=3, seed=1),
        deployment.start_callers("callers-second", second, "10.99.0.2", seconds, orders=15,
                                 feeds=20, manifests=1, seed=2),
    ]
    start = time.monotonic()

    def wait_until(second):
        time.sleep(max(0.0, start + second - time.monotonic()))

    wait_until(3)
    log("stopping balancer-0")
    deployment.stop_balancer("balancer-0")
    wait_until(5)
    log("starting balancer-3")
    deployment.start_balancer("balancer-3", "new")
    wait_until(7)
    name = f"{first}-0"
    log(f"draining the backend server of {name}")
    notice_time = time.monotonic()
    http("POST", deployment.backends[name], "/drain", {})
    drained = drain_seconds(deployment, name, notice_time)
    log(f"last request submitted {drained:.2f} s after the drain notice")
    deployment.processes[name].send_signal(signal.SIGTERM)
    wait_until(12)
    log(f"starting {first}-new")
    deployment.start_agent(f"{first}-new", first, "new", 2.0, cold_ms=500)
    wait_until(14)
    log("accepting a second configuration")
    configured = deployment.accept_changed_configuration(4000)
    log(f"configuration in force in all processes after {configured:.2f} s")

    reports = collect_reports(callers)
    journals = [http("GET", backend, "/journal") for backend in deployment.backends.values()]
    result = evaluate(reports, journals)
    result["drainSeconds"] = round(drained, 3)
    result["configurationSeconds"] = round(configured, 3)
    return result


def serve(deployment):
    print(json.dumps({"fabric": deployment.fabric, "services": deployment.services}), flush=True)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    sys.stdin.read()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=["kingston", "lima"], default="kingston")
    parser.add_argument("--serve", action="store_true",
                        help="leave the deployment running until SIGTERM or the end of input")
    parser.add_argument("--seconds", type=int, default=20)
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    with Deployment(ROOT / "deploy" / f"{arguments.deployment}.json") as deployment:
        log(f"starting {arguments.deployment}")
        deployment.start()
        if arguments.serve:
            serve(deployment)
            return 0
        log("starting load and changes")
        result = {"deployment": arguments.deployment, **run_demo(deployment, arguments.seconds)}
    failed = [key for key in MUST_BE_ZERO if result[key]]
    if result["drainSeconds"] > DRAIN_LIMIT_SECONDS:
        failed.append("drainSeconds")
    if result["configurationSeconds"] > CONFIGURATION_LIMIT_SECONDS:
        failed.append("configurationSeconds")
    for key in failed:
        log(f"requirement not met: {key} = {result[key]}")
    print(json.dumps(result), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
