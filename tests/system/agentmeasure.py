"""Measures an agent that holds many open flows, and the processes' control traffic; prints JSON."""

import json
import sys
import time

from deployment import ROOT, Deployment, collect_reports, http, log

HELD_FLOWS = [500, 1000, 2000]
SETTLE_SECONDS = 8
IDLE_SECONDS = 10


def memory_and_cpu(deployment, name):
    process = deployment.processes[name]
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        fields = dict(line.split(":", 1) for line in status if ":" in line)
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        ticks = stat.read().rsplit(")", 1)[1].split()
    return int(fields["VmRSS"].split()[0]) * 1024, (int(ticks[11]) + int(ticks[12])) / 100


def count_platform_calls(deployment):
    return sum(http("GET", deployment.platform, "/counts")["calls"].values())


def measure_flows(count):
    with Deployment(ROOT / "deploy" / "kingston.json") as deployment:
        deployment.start((1, 1), 1)
        name = "order-desk-0"
        before, _ = memory_and_cpu(deployment, name)
        seconds = SETTLE_SECONDS + 12
        holders = deployment.start_callers("holders", "order-desk", "10.99.0.1", seconds,
                                           orders=0, manifests=0, feeds=count - 20)
        time.sleep(SETTLE_SECONDS)
        after, cpu_before = memory_and_cpu(deployment, name)
        open_flows = deployment.state(name)["flows"]["open"]
        orders = deployment.start_callers("orders", "order-desk", "10.99.0.2", 8, orders=20,
                                          manifests=0, feeds=0, order_pause_ms=0, seed=3)
        report = collect_reports([orders])[0]
        _, cpu_after = memory_and_cpu(deployment, name)
        held = collect_reports([holders])[0]
        return {"flows": open_flows, "bytesPerFlow": (after - before) / max(1, open_flows),
                "residentBytes": after, "ordersPerSecond": report["answered"] / 8,
                "cpuSecondsPerSecond": (cpu_after - cpu_before) / 8,
                "brokenFlows": held.get("brokenFlows", 0)}


def measure_control():
    with Deployment(ROOT / "deploy" / "kingston.json") as deployment:
        deployment.start((7, 3), 3)
        names = list(deployment.agents)
        time.sleep(3)

        def sample():
            sent = [deployment.state(n)["packets"]["controlBytesSent"] for n in names]
            return sum(sent), count_platform_calls(deployment), [
                memory_and_cpu(deployment, n)[1] for n in [*names, *deployment.balancers]]

        def measure_window(seconds, change):
            bytes_before, calls_before, cpu_before = sample()
            start = time.monotonic()
            change()
            time.sleep(max(0.0, start + seconds - time.monotonic()))
            bytes_after, calls_after, cpu_after = sample()
            elapsed = time.monotonic() - start
            processes = len(names) + len(deployment.balancers)
            return {"controlBytesPerAgentAndSecond":
                        (bytes_after - bytes_before) / len(names) / elapsed,
                    "platformCallsPerProcessAndSecond":
                        (calls_after - calls_before) / processes / elapsed,
                    "cpuShareOfACore": sum(b - a for a, b in zip(cpu_before, cpu_after))
                        / processes / elapsed}

        def start_and_stop_agents():
            for number in range(10):
                deployment.start_agent(f"extra-{number}", "order-desk", "harbour")
            time.sleep(4)
            for number in range(10):
                deployment.processes[f"extra-{number}"].terminate()

        return {"idle": measure_window(IDLE_SECONDS, lambda: None),
                "tenInstancesComeAndGo": measure_window(2 * IDLE_SECONDS, start_and_stop_agents)}


def main():
    report = {"agent": [], "control": measure_control()}
    for count in HELD_FLOWS:
        log(f"measuring an agent with {count} open flows")
        report["agent"].append(measure_flows(count))
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
