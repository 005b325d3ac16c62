"""Runs a deployment of real processes, and stand-ins for the external systems, on loopback."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("GYPSUMWING_BIN", ROOT / "build" / "bin"))
HOST = "127.0.0.1"
PORTS_PER_DEPLOYMENT = 200
CONTROL_LINES = 30  # of each process, printed after a failure


def log(text):
    print(text, file=sys.stderr, flush=True)


def is_port_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def free_port_range():
    while True:
        base = random.randrange(20000, 32000, PORTS_PER_DEPLOYMENT)
        if all(is_port_free(port) for port in range(base, base + PORTS_PER_DEPLOYMENT)):
            return base


def http(method, endpoint, path, body=None, timeout=5):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{endpoint}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return json.loads(response.read() or b"null")


class Deployment:
    """One deployment. close() kills the processes that it started, by process id."""

    def __init__(self, answers, verbose=False):
        self.answers_path = pathlib.Path(answers)
        self.folder = tempfile.TemporaryDirectory(prefix="gypsumwing-")
        self.logs = pathlib.Path(os.environ.get("GYPSUMWING_LOGS", self.folder.name))
        self.logs.mkdir(parents=True, exist_ok=True)
        self.base = free_port_range()
        self.next_port = self.base
        self.processes = {}
        self.balancers = {}
        self.agents = {}
        self.backends = {}
        self.platform = self.endpoint()
        self.fabric = self.endpoint()
        self.fabric_admin = self.endpoint()
        self.verbose = verbose
        self.services = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def endpoint(self):
        self.next_port += 1
        return f"{HOST}:{self.next_port - 1}"

    def spawn(self, name, *arguments, stdout=None):
        """Starts a process whose output goes to its log, unless stdout is given."""
        log_file = open(self.logs / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(argument) for argument in arguments], stdin=subprocess.DEVNULL,
            stdout=stdout or log_file, stderr=log_file)
        return self.processes[name]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def print_control_lines(self):
        """Prints the latest log lines of each process, except those about single flows."""
        for path in sorted(self.logs.glob("*.log")):
            lines = [line for line in path.read_text(errors="replace").splitlines()
                     if " flow=" not in line]
            log("\n".join([f"-- {path.name}", *lines[-CONTROL_LINES:]]))

    # Stand-ins

    def start_stand_ins(self):
        self.spawn("platform", BIN / "standin", "platform", f"--platform_listen={self.platform}")
        self.spawn("fabric", BIN / "standin", "fabric", f"--fabric_listen={self.fabric}",
                   f"--fabric_admin={self.fabric_admin}")
        self.wait_for("stand-ins", lambda: http("GET", self.platform, "/counts") is not None)
        self.wait_for("fabric", lambda: self.configure_fabric() is not None)

    def configure_fabric(self, **faults):
        settings = {"balancers": [b["tunnel"] for b in self.balancers.values() if b["inFabric"]],
                    "services": list(self.services.values()), **faults}
        return http("PUT", self.fabric_admin, "/", settings)

    def set_platform_faults(self, **faults):
        return http("PUT", self.platform, "/faults", faults)

    def start_backend(self, name, service, speed=1.0, endpoint=None, **flags):
        endpoint = endpoint or self.endpoint()
        arguments = [f"--backend_{key}={value}" for key, value in flags.items()]
        self.spawn(f"{name}-backend", BIN / "standin", "backend", f"--backend_listen={endpoint}",
                   f"--backend_service={service}", f"--backend_instance={name}",
                   f"--backend_speed={speed}", *arguments)
        self.backends[name] = endpoint
        return endpoint

    def start_callers(self, name, service, address, seconds, **flags):
        arguments = [f"--caller_{key}={value}" for key, value in flags.items()]
        return self.spawn(name, BIN / "standin", "caller", f"--caller_listen={self.endpoint()}",
                          f"--caller_fabric={self.fabric}", f"--caller_address={address}",
                          f"--caller_service={self.services[service]}",
                          f"--caller_service_name={service}", f"--caller_seconds={seconds}",
                          *arguments, stdout=subprocess.PIPE)

    # Processes under test

    def write_settings(self, name, settings):
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings, indent=4))
        return path

    def start_daemon(self, name, settings):
        return self.spawn(name, BIN / "gypsumwingd", "--settings", self.write_settings(name, settings))

    def peer_admins(self):
        return [p["admin"] for p in [*self.balancers.values(), *self.agents.values()]][:3]

    def start_balancer(self, name, domain):
        settings = {"role": "balancer", "name": name, "failureDomain": domain,
                    "tunnel": self.endpoint(), "admin": self.endpoint(),
                    "platform": self.platform, "peers": self.peer_admins()}
        self.start_daemon(name, settings)
        self.balancers[name] = {**settings, "inFabric": False}
        self.wait_for(f"balancer {name}", lambda: self.state(name)["generation"] > 0)
        self.balancers[name]["inFabric"] = True
        self.configure_fabric()

    def stop_balancer(self, name):
        """Stops a balancer with SIGTERM after removing it from the fabric."""
        self.balancers[name]["inFabric"] = False
        self.configure_fabric()
        self.processes[name].send_signal(signal.SIGTERM)

    def kill_balancer(self, name):
        self.processes[name].kill()
        self.balancers[name]["inFabric"] = False
        self.configure_fabric()

    def agent_settings(self, name, service, domain, capacity, **more):
        return {"role": "agent", "name": name, "failureDomain": domain, "service": service,
                "capacity": capacity, "tunnel": self.endpoint(), "admin": self.endpoint(),
                "peer": self.endpoint(), "fabric": self.fabric, "backend": self.backends[name],
                "platform": self.platform, "peers": self.peer_admins(), "warmUpMs": 1000, **more}

    def start_agent(self, name, service, domain, speed=1.0, **flags):
        self.start_backend(name, service, speed, **flags)
        settings = self.agent_settings(name, service, domain, speed)
        self.start_daemon(name, settings)
        self.agents[name] = settings

    def state(self, name):
        process = self.balancers.get(name) or self.agents[name]
        return http("GET", process["admin"], "/state")

    def run_tool(self, *arguments):
        return subprocess.run([BIN / "gypsumwing", *map(str, arguments)], capture_output=True,
                              text=True, check=False)

    def accept_configuration(self, answers=None):
        done = self.run_tool("accept", answers or self.answers_path, "--platform", self.platform)
        if done.returncode != 0:
            raise RuntimeError(f"gypsumwing accept failed: {done.stderr}")

    def accept_changed_configuration(self, deadline_ms):
        """Accepts a second configuration with this deadline for every service.

        Returns the seconds until it is in force in all running processes.
        """
        answers = json.loads(strip_comments(self.answers_path.read_text()))
        for service in answers["services"]:
            service["answerWithinMs"] = deadline_ms
        path = self.write_settings("second-answers", answers)
        target = max(self.state(name)["generation"] for name in self.running_processes()) + 1
        start = time.monotonic()
        self.accept_configuration(path)
        self.wait_for("configuration in force", lambda: all(
            self.state(name)["generation"] >= target for name in self.running_processes()))
        return time.monotonic() - start

    def running_processes(self):
        return [name for name in [*self.balancers, *self.agents]
                if self.processes[name].poll() is None]

    def wait_for(self, what, condition, limit=30):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, KeyError, ValueError):
                pass
            time.sleep(0.03)
        raise RuntimeError(f"timed out after {limit} s: {what}")

    def start(self, agents_per_service=(7, 3), balancers=3):
        answers = json.loads(strip_comments(self.answers_path.read_text()))
        self.services = {s["name"]: s["address"] for s in answers["services"]}
        domains = answers["failureDomains"]
        self.start_stand_ins()
        self.accept_configuration()
        speeds = [1.0, 1.5, 2.0, 1.0, 3.0, 1.5, 2.5]
        for service, count in zip(self.services, agents_per_service):
            for number in range(count):
                self.start_agent(f"{service}-{number}", service, domains[number % len(domains)],
                                 speeds[number % len(speeds)])
        self.wait_for("agents", lambda: all(
            self.state(name)["state"] == "ready" for name in self.agents))
        for number in range(balancers):
            self.start_balancer(f"balancer-{number}", domains[number % len(domains)])
        self.wait_for("tables", lambda: all(
            self.count_ready_announcements() >= len(self.agents) for _ in [0]))

    def count_ready_announcements(self):
        objects = http("GET", self.platform, "/v1/objects?prefix=instances/")["objects"]
        return sum(1 for o in objects if o["value"]["state"] == "ready")


def strip_comments(text):
    return "\n".join(line for line in text.splitlines() if not line.strip().startswith("//"))


def evaluate(reports, journals):
    """Compares the outcomes that callers received with the orders that backend servers ran.

    Returns the sums of the callers' counters, and how many orders were doubled (ran twice), lost
    (answered without being run, or never answered) or falsely reported as not run.
    """
    runs = {}
    for journal in journals:
        for order, count in journal.items():
            runs[order] = runs.get(order, 0) + count
    result = dict.fromkeys(["requests", "answered", "notRun", "unknown", "doubled", "lost",
                            "brokenFlows", "misdelivered", "falseNotRun", "feedGaps", "events",
                            "feeds", "flows", "notOpened", "noAnswer", "unexpectedBytes"], 0)
    for report in reports:
        for key, value in report.items():
            if key in result:
                result[key] += value
        for order, outcome in report["orders"].items():
            ran = runs.get(order, 0)
            result["doubled"] += ran > 1
            result["lost"] += outcome == "answered" and ran == 0 or outcome == "noAnswer"
            result["falseNotRun"] += outcome == "notRun" and ran > 0
    return result


def collect_reports(callers):
    reports = []
    for process in callers:
        output, _ = process.communicate(timeout=120)
        reports.append(json.loads(output))
    return reports
