"""Injects failures into a running deployment and checks the results.

Usage: failures.py SCENARIO; prints the list of scenarios without or with an unknown one.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from deployment import ROOT, Deployment, collect_reports, http, evaluate, log, strip_comments

ALWAYS_ZERO = ["doubled", "misdelivered", "falseNotRun", "feedGaps", "unexpectedBytes"]
ZERO_WITHOUT_BREAKAGE = ALWAYS_ZERO + ["lost", "brokenFlows", "notOpened"]
SCENARIOS = {}


def scenario(function):
    SCENARIOS[function.__name__.replace("_", "-")] = function
    return function


class ScenarioFailed(Exception):
    pass


def require(condition, message):
    if not condition:
        raise ScenarioFailed(message)


def under_load(deployment, seconds, change, zero, orders=20, feeds=30, manifests=2, **flags):
    """Runs callers, calls change() after 1.5 s, and requires the counters named in zero to be 0."""
    first = next(iter(deployment.services))
    callers = [deployment.start_callers("callers", first, "10.99.0.1", seconds, orders=orders,
                                        feeds=feeds, manifests=manifests, **flags)]
    time.sleep(1.5)
    change()
    reports = collect_reports(callers)
    journals = []
    for name, backend in deployment.backends.items():
        if deployment.processes[f"{name}-backend"].poll() is None:
            journals.append(http("GET", backend, "/journal"))
    result = evaluate(reports, journals)
    log(json.dumps(result))
    require(result["answered"] > 0, "no request was answered")
    require(result["events"] > 0, "no feed event was received")
    for key in zero:
        require(result[key] == 0, f"{key}: expected 0, got {result[key]}")
    return result


def restart_agent(deployment, name):
    """Restarts an agent with SIGTERM and waits until it is ready."""
    process = deployment.processes[name]
    process.send_signal(signal.SIGTERM)
    process.wait(timeout=60)
    deployment.start_daemon(name, deployment.agents[name])
    deployment.wait_for(name, lambda: deployment.state(name)["state"] == "ready")
    time.sleep(0.5)


def start_small(deployment, balancers=3):
    deployment.start((4, 1), balancers)


@scenario
def balancer_killed(deployment):
    """Killing a balancer breaks no flow, as balancers hold no flow state."""
    start_small(deployment)
    under_load(deployment, 8, lambda: deployment.kill_balancer("balancer-0"), ZERO_WITHOUT_BREAKAGE)


@scenario
def balancers_all_replaced(deployment):
    """Replacing all balancers, one after the other, breaks no flow."""
    start_small(deployment)

    def replace():
        for number in range(3):
            deployment.start_balancer(f"new-{number}", "new")
            deployment.stop_balancer(f"balancer-{number}")
            time.sleep(0.5)

    under_load(deployment, 8, replace, ZERO_WITHOUT_BREAKAGE)


@scenario
def agents_all_replaced(deployment):
    """Restarting each agent of a service with SIGTERM, one after the other, breaks no flow."""
    start_small(deployment)
    first = next(iter(deployment.services))
    names = [name for name in deployment.agents if name.startswith(first)]

    def replace():
        for name in names:
            restart_agent(deployment, name)

    under_load(deployment, 25, replace, ZERO_WITHOUT_BREAKAGE)
    require(deployment.processes[names[0]].poll() is None, "the first agent is not running")


@scenario
def packets_lost_doubled_reordered(deployment):
    """Dropped, duplicated and reordered packets in both directions break no flow."""
    start_small(deployment)
    deployment.configure_fabric(drop=0.01, duplicate=0.02, reorder=0.05)
    under_load(deployment, 10, lambda: None, ZERO_WITHOUT_BREAKAGE, manifests=1,
               manifest_bytes=50_000)


@scenario
def drain_while_platform_is_down(deployment):
    """When a backend server drains during an outage, its flows move and it gets no new requests."""
    start_small(deployment)
    name = next(iter(deployment.agents))

    def drain():
        deployment.set_platform_faults(outage=True)
        time.sleep(0.5)
        http("POST", deployment.backends[name], "/drain", {})
        deployment.wait_for("flows moved", lambda: deployment.state(name)["flows"]["open"] == 0)
        submitted = deployment.state(name)["requests"]["submitted"]
        time.sleep(3)
        require(deployment.state(name)["requests"]["submitted"] == submitted,
                "a draining agent submitted a request")
        require(deployment.state(name)["state"] == "draining", "the agent is not draining")

    under_load(deployment, 9, drain, ZERO_WITHOUT_BREAKAGE)


@scenario
def balancer_starts_while_platform_is_down(deployment):
    """A balancer that starts during an outage gets tables and configuration from its peers."""
    start_small(deployment)

    def start():
        deployment.set_platform_faults(outage=True)
        deployment.start_balancer("late", "new")
        for name in ["balancer-0", "balancer-1", "balancer-2"]:
            deployment.stop_balancer(name)

    under_load(deployment, 10, start, ZERO_WITHOUT_BREAKAGE)
    deployment.set_platform_faults(outage=False)
    deployment.accept_configuration()
    deployment.wait_for("generation 2", lambda: deployment.state("late")["generation"] == 2)


@scenario
def agent_paused_and_woken(deployment):
    """An agent that is paused until its peers suspect it, then resumed, runs no request twice."""
    start_small(deployment)
    name = next(iter(deployment.agents))
    process = deployment.processes[name]

    def announced_state():
        return http("GET", deployment.platform, f"/v1/objects/instances/{name}")["state"]

    def pause():
        process.send_signal(signal.SIGSTOP)
        deployment.wait_for("suspicion", lambda: announced_state() == "suspect")
        process.send_signal(signal.SIGCONT)
        deployment.wait_for("refutation", lambda: announced_state() == "ready")

    under_load(deployment, 12, pause, ZERO_WITHOUT_BREAKAGE)


@scenario
def agent_killed(deployment):
    """Killing an agent breaks only its own flows."""
    start_small(deployment)
    name = next(iter(deployment.agents))

    def kill():
        deployment.processes[name].kill()

    result = under_load(deployment, 12, kill, ALWAYS_ZERO)
    require(result["brokenFlows"] < result["flows"] / 2, "half of all flows or more broke")


@scenario
def backend_server_killed(deployment):
    """After a backend server is killed, feeds continue elsewhere and its orders end as unknown."""
    start_small(deployment)
    name = next(iter(deployment.agents))
    journal = {}

    def kill():
        journal.update(http("GET", deployment.backends[name], "/journal"))
        deployment.processes[f"{name}-backend"].kill()

    result = under_load(deployment, 10, kill, ["doubled", "misdelivered", "feedGaps"])
    require(result["events"] > 0, "no feed event was received")
    state = deployment.state(name)
    require(state["backend"] == "gone", "the agent did not detect the end of its backend server")
    require(state["flows"]["open"] == 0, "the agent still has open flows without a backend server")


@scenario
def address_reused_by_another_service(deployment):
    """An agent's address is reused by another service while balancers still send to it."""
    start_small(deployment)
    first, second = deployment.services
    name = f"{first}-0"

    def reuse():
        # During the outage the balancers keep their old tables.
        deployment.set_platform_faults(outage=True)
        process = deployment.processes[name]
        settings = dict(deployment.agents[name])
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=60)
        deployment.set_platform_faults(outage=False, staleReads=True)
        deployment.start_backend("reused", second)
        settings.update(name="reused", service=second, backend=deployment.backends["reused"])
        deployment.start_daemon("reused", settings)
        deployment.agents["reused"] = settings
        deployment.wait_for("reused", lambda: deployment.state("reused")["role"] == "agent")
        time.sleep(2)
        deployment.set_platform_faults(staleReads=False)

    under_load(deployment, 16, reuse, ZERO_WITHOUT_BREAKAGE)


@scenario
def services_exchange_addresses(deployment):
    """Two services exchange addresses: open flows stay, new ones go to the other service.

    Guards against packets of open flows that only visit agents of the service which has the address
    now, and against agents that accept and take over flows at their first address only. Balancers
    and agents are restarted after the change: they know the newest configuration only.
    """
    start_small(deployment)
    first, second = deployment.services
    names = [name for name in deployment.agents if name.startswith(first)]
    newcomers = []

    def exchange():
        answers = json.loads(strip_comments(deployment.answers_path.read_text()))
        one, other = answers["services"]
        one["address"], other["address"] = other["address"], one["address"]
        deployment.accept_configuration(deployment.write_settings("exchanged", answers))
        deployment.wait_for("generation 2", lambda: all(
            deployment.state(name)["generation"] == 2 for name in deployment.running_processes()))
        deployment.services = {service["name"]: service["address"] for service in answers["services"]}
        newcomers.append(deployment.start_callers("newcomers", second, "10.99.0.2", 8, orders=5,
                                                  feeds=5, manifests=0))
        for number in range(3):
            deployment.start_balancer(f"new-{number}", "new")
            deployment.stop_balancer(f"balancer-{number}")
            time.sleep(0.5)
        for name in names[:3]:
            restart_agent(deployment, name)

    # Flows that are never replaced, so that none opens after the change.
    result = under_load(deployment, 25, exchange, ZERO_WITHOUT_BREAKAGE, mean_requests=1_000_000)
    require(result["flows"] == 52, f"flows: expected the 52 of the start, got {result['flows']}")
    report = collect_reports(newcomers)[0]
    log(json.dumps({key: value for key, value in report.items() if key != "orders"}))
    require(report.get("answered", 0) > 0, "no request of a new flow was answered")
    require(report.get("misdelivered", 0) == 0, "a new flow reached the service of before")
    for key in ("brokenFlows", "notOpened"):
        require(report.get(key, 0) == 0, f"{key} of new flows: expected 0, got {report.get(key)}")


@scenario
def operators_race(deployment):
    """Of six operators that accept on top of one generation, one succeeds; five get a conflict."""
    start_small(deployment, 1)
    arguments = [deployment.answers_path, "--platform", deployment.platform,
                 "--expect_generation", 1]
    racers = [subprocess.Popen([deployment_tool(), "accept", *map(str, arguments)],
                               stdout=subprocess.PIPE, stderr=subprocess.PIPE) for _ in range(6)]
    codes = sorted(racer.wait(timeout=30) for racer in racers)
    require(codes == [0] + [3] * 5, f"exit codes: expected one 0 and five 3, got {codes}")
    deployment.wait_for("generation 2", lambda: all(
        deployment.state(name)["generation"] == 2 for name in deployment.running_processes()))


@scenario
def acceptance_with_lost_answer(deployment):
    """An acceptance without a response is found to be written, once; one in an outage fails."""
    start_small(deployment, 1)
    deployment.set_platform_faults(loseAnswers=1)
    done = deployment.run_tool("accept", deployment.answers_path, "--platform", deployment.platform)
    require(done.returncode == 0, f"exit code {done.returncode}: {done.stderr}")
    require("generation 2" in done.stdout, done.stdout)
    deployment.set_platform_faults(outage=True)
    done = deployment.run_tool("accept", deployment.answers_path, "--platform", deployment.platform)
    require(done.returncode == 1, f"exit code during an outage: expected 1, got {done.returncode}")
    deployment.set_platform_faults(outage=False)
    deployment.wait_for("generation 2", lambda: all(
        deployment.state(name)["generation"] == 2 for name in deployment.running_processes()))


@scenario
def store_restored_from_copy(deployment):
    """After the store lost its latest writes, processes announce themselves and follow it again."""
    start_small(deployment)
    accept = ["accept", deployment.answers_path, "--platform", deployment.platform]

    def restore():
        require(deployment.run_tool(*accept).returncode == 0, "generation 2 was not accepted")
        deployment.wait_for("generation 2", lambda: all(
            deployment.state(name)["generation"] == 2 for name in deployment.running_processes()))
        announced = deployment.count_ready_announcements()
        latest = 2
        for _ in range(2):
            deployment.set_platform_faults(lostWrites=4)
            require(deployment.count_ready_announcements() < announced, "no announcement was lost")
            done = deployment.run_tool(*accept)
            require(done.returncode == 0, f"exit code {done.returncode}: {done.stderr}")
            generation = int(done.stdout.split("generation ")[1].split()[0].rstrip(".,;:"))
            require(generation > latest, f"generation {generation} was in force before")
            latest = generation
            deployment.wait_for("the accepted generation", lambda expected=generation: all(
                deployment.state(name)["generation"] == expected
                for name in deployment.running_processes()))
            deployment.wait_for("announcements", lambda: (
                deployment.count_ready_announcements() == announced))

    under_load(deployment, 12, restore, ZERO_WITHOUT_BREAKAGE)


@scenario
def operator_drains_an_agent(deployment):
    """A drain requested by an operator moves the agent's flows and stays in effect."""
    start_small(deployment)
    name = next(iter(deployment.agents))

    def drain():
        done = deployment.run_tool("drain", name, "--platform", deployment.platform)
        require(done.returncode == 0, done.stderr)
        deployment.wait_for("flows moved", lambda: deployment.state(name)["flows"]["open"] == 0)

    under_load(deployment, 7, drain, ZERO_WITHOUT_BREAKAGE)
    require(deployment.state(name)["state"] == "draining", "the agent is no longer draining")


@scenario
def files_refused(deployment):
    """Invalid settings and answers are rejected with file, line and key; nothing is written."""
    folder = pathlib.Path(deployment.folder.name)
    bad_settings = folder / "bad-settings.json"
    bad_settings.write_text('{\n  "role": "balancer",\n  "colour": 1\n}\n')
    done = subprocess.run([deployment_bin("gypsumwingd"), "--settings", bad_settings],
                          capture_output=True, text=True, check=False)
    require(done.returncode == 2, f"daemon: exit code {done.returncode}")
    require("bad-settings.json:" in done.stderr and "/" in done.stderr, done.stderr)
    answers = json.loads(strip_comments(deployment.answers_path.read_text()))
    answers["services"][1]["address"] = answers["services"][0]["address"]
    clash = folder / "clash.json"
    clash.write_text(json.dumps(answers, indent=1))
    deployment.start_stand_ins()
    for command in (["generate", clash], ["accept", clash, "--platform", deployment.platform]):
        done = deployment.run_tool(*command)
        require(done.returncode == 2, f"{command[0]}: exit code {done.returncode}")
        require("clash.json:" in done.stderr and "/services/1/address" in done.stderr, done.stderr)
    require(http("GET", deployment.platform, "/counts")["revision"] == 0, "the store was modified")


@scenario
def signal_while_settings_are_read(deployment):
    """SIGHUP reaches a daemon that still waits for its settings: it reads them, and ends as they tell."""
    pipe = pathlib.Path(deployment.folder.name) / "settings"
    os.mkfifo(pipe)
    command = [deployment_bin("gypsumwingd"), "--settings", pipe]
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as daemon:
        # Opening the pipe waits until the daemon reads it.
        with open(pipe, "w", encoding="utf-8") as settings:
            daemon.send_signal(signal.SIGHUP)
            time.sleep(0.3)
            require(daemon.poll() is None, f"ended by the signal: {daemon.returncode}")
            settings.write('{ "role": "unknown" }')
        require(daemon.wait(10) == 2, f"exit code {daemon.returncode}")


def deployment_bin(name):
    from deployment import BIN
    return BIN / name


def deployment_tool():
    return deployment_bin("gypsumwing")


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in SCENARIOS:
        print("\n".join(f"{name}: {function.__doc__}" for name, function in SCENARIOS.items()))
        return 2
    with Deployment(ROOT / "deploy" / "kingston.json") as deployment:
        try:
            SCENARIOS[sys.argv[1]](deployment)
        except (ScenarioFailed, RuntimeError) as error:
            deployment.print_control_lines()
            log(f"failed: {error}")
            return 1
    log("passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
