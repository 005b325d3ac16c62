"""A small deployment on loopback: gypsumwingd processes, and stand-ins for the platform, backend servers and clients.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Each machine has a loopback address of its own, since the ports
are the same on all machines of a day. Only what clients and servers see is recorded and judged.
"""

import http.server
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "bin" / "gypsumwingd"
HEAD = struct.Struct(">IHHIBHIIII")  # src dport sport dst flags len echo seq ack sum
SYN, ACK, RST, FIN, BOUNCED = 4, 8, 16, 32, 64
HEARTBEAT_S = 0.77
HISTORY_S = 20.0
FLOW_WINDOW_S = 2.0
GRACE_S = 6.0
ROUTE = "127.9.0.1"
RETRY_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6)


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def packet(src, sport, dst, dport, flags, seq, ack, data=b""):
    body = struct.pack(">IHHIBII", src, sport, dport, dst, flags, seq, ack) + data
    return HEAD.pack(src, dport, sport, dst, flags, len(data), 0, seq, ack,
                     zlib.crc32(b"key" + body) | 1) + data


def free_base():
    while True:
        base = random.randrange(20000, 32000, 16)
        try:
            for port in range(base, base + 12):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue


class Record:
    def __init__(self, folder):
        self.start = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()
        self.path = pathlib.Path(folder) / "record.txt"

    def __call__(self, *words):
        with self.lock:
            self.lines.append("%8.3f %s" % (time.monotonic() - self.start, " ".join(map(str, words))))

    def write(self):
        with self.lock:
            self.path.write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's store: objects, conditional writes, watches, a history of HISTORY_S."""

    def __init__(self, address, record):
        self.objects, self.events, self.revision = {}, [], 1
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "0")
                self.end_headers()
                self.wfile.write(data)

            def body(self):
                return json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")

            def parts(self):
                path, _, query = self.path.partition("?")
                arguments = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                return path.split("/")[3:], arguments

            def do_GET(self):
                self.body()
                names, arguments = self.parts()
                if len(names) == 2:
                    with store.changed:
                        found = store.objects.get(tuple(names))
                    self.reply(200, found) if found else self.reply(404, {})
                elif "watch" in arguments:
                    self.reply(*store.watch(names[0], int(arguments["watch"]),
                                            int(arguments.get("wait_ms", 0)) / 1000))
                else:
                    with store.changed:
                        items = [o for k, o in sorted(store.objects.items()) if k[0] == names[0]]
                        answer = {"items": items, "has_more": False, "current_rev": store.revision}
                    self.reply(200, answer)

            def do_POST(self):
                names, _ = self.parts()
                body = self.body()
                self.reply(*store.put(names[0], body["meta"]["name"], body["spec"], create=True))

            def do_PUT(self):
                names, _ = self.parts()
                body = self.body()
                self.reply(*store.put(names[0], names[1], body["spec"],
                                      revision=body.get("meta", {}).get("revision")))

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                """A client that ended while its watch waited."""

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec, create=False, revision=None):
        with self.changed:
            known = self.objects.get((kind, name))
            if (create and known) or (revision is not None and
                                      (not known or known["meta"]["revision"] != revision)):
                return 409, known or {}
            if known and known["spec"] == spec:
                return 200, known
            self.revision += 1
            made = known["meta"]["created_rev"] if known else self.revision
            entry = {"meta": {"name": name, "revision": self.revision, "created_rev": made,
                              "finalizers": [], "deleting": False}, "spec": spec, "status": None}
            self.objects[(kind, name)] = entry
            self.events.append((time.monotonic(), self.revision, kind, entry))
            self.changed.notify_all()
            return 200, entry

    def watch(self, kind, position, wait):
        deadline = time.monotonic() + min(wait, 30)
        with self.changed:
            while True:
                now = time.monotonic()
                forgotten = [e[1] for e in self.events if now - e[0] > HISTORY_S]
                events = [e for e in self.events if e[1] > position and e[2] == kind]
                if events and forgotten and position < forgotten[-1]:
                    return 410, {}
                if events or now >= deadline:
                    return 200, {"events": [{"object": e[3], "deleted": False} for e in events],
                                 "current_rev": self.revision}
                self.changed.wait(deadline - now)


class Backend:
    """A backend server beside an agent."""

    def __init__(self, deployment, ip, service, name):
        self.deployment, self.ip, self.service, self.name = deployment, ip, service, name
        d = deployment
        self.flows, self.state, self.sequence = {}, "ready", 0
        self.born = int(time.time() * 1000)
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((ip, d.port["app"]))
        self.tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((ip, d.port["app"]))
        self.tcp.listen(64)
        self.running = True
        self.udp.settimeout(0.5)
        threading.Thread(target=self.serve, daemon=True).start()
        threading.Thread(target=self.serve_tcp, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def serve_tcp(self):
        while self.running:
            try:
                connection, _ = self.tcp.accept()
                connection.close()
            except OSError:
                return

    def call(self, path, body):
        try:
            request = urllib.request.Request(
                "http://%s:%d%s" % (self.ip, self.deployment.port["control"], path),
                data=json.dumps(body).encode() if body else b"", method="POST",
                headers={"Content-Type": "application/json"})
            with urllib.request.urlopen(request, timeout=1) as answer:
                return 200 <= answer.status < 300
        except OSError:
            return False

    def heartbeat(self):
        body = {"service": self.service, "address": "%s:%d" % (self.ip, self.deployment.port["app"]),
                "zone": "zone-a", "version": "v1", "slots": 3, "state": self.state,
                "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}
        self.sequence += 1
        return self.call("/v1/instances/%s/heartbeat" % self.name, body)

    def beat(self):
        while self.running:
            self.heartbeat()
            time.sleep(HEARTBEAT_S)

    def leave(self):
        """Announces that it drains, serves on for drain_ms, and leaves."""
        self.state = "draining"
        self.heartbeat()
        time.sleep(3.2)
        self.running = False
        self.call("/v1/instances/%s/leave" % self.name, {"born": self.born})
        self.udp.close()
        self.tcp.close()

    def send(self, data):
        self.udp.sendto(data, (self.ip, self.deployment.port["outbound"]))

    def serve(self):
        d = self.deployment
        while self.running:
            try:
                data = self.udp.recv(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            src, dport, sport, dst, flags, _, _, seq, ack, _ = HEAD.unpack_from(data)
            body = data[HEAD.size:]
            key = (src, sport)
            d.on_arrival(self, key, flags, body)
            flow = self.flows.get(key)
            reply = lambda f, s, a, b=b"": self.send(packet(dst, dport, src, sport, f, s, a, b))
            if flags & SYN:
                if not flow:
                    flow = self.flows[key] = {"iss": random.getrandbits(31), "open": False,
                                              "next": seq + 1, "sent": b"", "answers": {}}
                reply(SYN | ACK, flow["iss"], seq + 1)
                continue
            if flow and not flow["open"] and ack == flow["iss"] + 1:
                flow["open"] = True
                flow["seq"] = flow["iss"] + 1
                d.on_opened(self, key)
            if not flow or not flow["open"]:
                self.send(data[:12] + bytes([flags | BOUNCED]) + data[13:])
                continue
            if not body:
                continue
            if seq == flow["next"]:
                request = body.split(b"Request-Id: ")[1].split(b"\r")[0].decode()
                d.record("run", request, "by", self.name, "of", self.service)
                answer = ("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                          % (self.name, request)).encode()
                flow["next"] = seq + len(body)
                flow["answers"][seq] = (flow["seq"], answer)
                flow["seq"] += len(answer)
            if seq in flow["answers"]:
                at, answer = flow["answers"][seq]
                reply(ACK, at, flow["next"], answer)


class Flow:
    """A client's flow: one request at a time, with the retransmissions of PROTOCOL.md."""

    def __init__(self, client, sport, route_port):
        self.client, self.sport, self.route_port = client, sport, route_port
        self.seq = random.getrandbits(30)
        self.ack, self.opened, self.reset, self.answered = 0, False, False, 0
        self.event = threading.Condition()
        self.requests = 0

    def send(self, flags, seq, ack, data=b""):
        self.client.send(self, packet(self.client.number, self.sport, ip_number(ROUTE), self.route_port,
                                      flags, seq, ack, data))

    def open(self):
        with self.event:
            for copy, pause in enumerate((0.2, 0.4, 0.8)):
                self.send(SYN, self.seq, copy)
                if self.event.wait_for(lambda: self.opened or self.reset, pause):
                    break
            if not self.opened:
                return False
            self.seq += 1
            self.send(ACK, self.seq, self.ack)
            return True

    def request(self, deadline_s):
        """Sends a request; returns whether it was answered."""
        self.requests += 1
        name = "%d-%d" % (self.sport, self.requests)
        data = ("GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\n\r\n" % name).encode()
        self.client.record("sent", name)
        end = time.monotonic() + deadline_s
        with self.event:
            before = self.answered
            for pause in RETRY_S:
                self.send(ACK, self.seq, self.ack, data)
                left = min(pause, end - time.monotonic())
                if left <= 0 or self.event.wait_for(lambda: self.answered > before or self.reset, left):
                    break
            done = self.answered > before
            if done:
                self.seq += len(data)
        self.client.record("answered" if done else "reset" if self.reset else "unanswered", name)
        return done

    def on_packet(self, flags, seq, ack, data, total):
        with self.event:
            if flags & RST:
                self.reset = True
                self.client.deployment.on_reset(self, total == 0)
            elif flags & SYN:
                if not self.opened:
                    self.opened, self.ack = True, seq + 1
            elif data and seq == self.ack:
                self.ack += len(data)
                self.answered += 1
            self.event.notify_all()


class Client:
    def __init__(self, deployment, ip):
        self.deployment, self.ip, self.number = deployment, ip, ip_number(ip)
        self.record = deployment.record
        self.flows = {}
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((ip, deployment.port["callers"]))
        threading.Thread(target=self.serve, daemon=True).start()

    def send(self, flow, data):
        balancer = self.deployment.router.choose(self.number, flow.sport)
        if balancer:
            self.udp.sendto(data, (balancer, self.deployment.port["callers"]))

    def flow(self, sport, route_port):
        self.flows[sport] = Flow(self, sport, route_port)
        return self.flows[sport]

    def serve(self):
        while True:
            data = self.udp.recv(4096)
            _, dport, _, _, flags, _, _, seq, ack, total = HEAD.unpack_from(data)
            if dport in self.flows:
                self.flows[dport].on_packet(flags, seq, ack, data[HEAD.size:], total)


class Router:
    """Sends each packet to a ready balancer, chosen by a steady hash of the flow."""

    def __init__(self, deployment):
        self.deployment, self.misses = deployment, {}
        threading.Thread(target=self.probe, daemon=True).start()

    def probe_one(self, ip):
        try:
            with urllib.request.urlopen("http://%s:%d/v1/ready" % (ip, self.deployment.port["readiness"]),
                                        timeout=0.4) as answer:
                ok = answer.status == 200
        except OSError:
            ok = False
        self.misses[ip] = 0 if ok else self.misses.get(ip, 2) + 1

    def probe(self):
        while True:
            for ip in self.deployment.balancer_ips:
                threading.Thread(target=self.probe_one, args=(ip,), daemon=True).start()
            time.sleep(0.5)

    def ready(self):
        return [ip for ip in self.deployment.balancer_ips if self.misses.get(ip, 2) < 2]

    def choose(self, address, port):
        ready = self.ready()
        if 2 * len(ready) < len(self.deployment.balancer_ips):
            ready = self.deployment.balancer_ips
        return max(ready, key=lambda ip: zlib.crc32(("%s %d %d" % (ip, address, port)).encode()))


class Deployment:
    def __init__(self, folder, balancers, services):
        """services: name -> number of servers."""
        self.record = Record(folder)
        base = free_base()
        names = ("tunnel", "pages", "metrics", "callers", "readiness", "control", "outbound", "app", "store")
        self.port = {name: base + index for index, name in enumerate(names)}
        self.temporary = tempfile.TemporaryDirectory(prefix="gypsumwing-review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.processes, self.settings = {}, {}
        self.arrivals, self.owner, self.resets = {}, {}, []
        self.store = Store(("127.0.0.1", self.port["store"]), self.record)
        self.balancer_ips = ["127.1.0.%d" % (n + 1) for n in range(balancers)]
        self.agents, self.backends = [], {}
        for index, ip in enumerate(self.balancer_ips):
            self.add(ip, "front-%d" % (index + 1), {"role": "forwarding-balancer"})
        self.names = {}
        number = 0
        for service, count in services.items():
            for _ in range(count):
                number += 1
                ip = "127.1.1.%d" % number
                name = "side-%d" % number
                self.agents.append(name)
                self.names[name] = (ip, service)
                self.add(ip, name, {"role": "forwarding-agent", "service": service,
                                    "backend": "%s:%d" % (ip, self.port["app"]),
                                    "outbound": "%s:%d" % (ip, self.port["outbound"]),
                                    "beatIntervalMs": int(HEARTBEAT_S * 1000)})
        self.router = Router(self)

    def add(self, ip, name, extra):
        at = lambda key: "%s:%d" % (ip, self.port[key])
        seeds = ["%s:%d" % (b, self.port["control"]) for b in self.balancer_ips[:3]]
        self.settings[name] = dict(
            {"name": name, "failureDomain": "zone-a", "tunnel": at("tunnel"), "pages": at("pages"),
             "metrics": at("metrics"), "store": "127.0.0.1:%d" % self.port["store"],
             "callers": at("callers"), "readiness": at("readiness"), "control": at("control"),
             "longestFlowSeconds": 60, "firstStart": True, "seeds": seeds}, **extra)

    def start(self, name, first=False):
        self.settings[name]["firstStart"] = first
        path = self.folder / (name + ".json")
        path.write_text(json.dumps(self.settings[name]))
        log = open(self.folder / (name + ".log"), "ab")
        self.processes[name] = subprocess.Popen([str(DAEMON), "--settings", str(path)], cwd=ROOT,
                                                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record("started", name)

    def start_all(self):
        for name in self.settings:
            self.start(name, first=True)
        for name in self.agents:
            ip, service = self.names[name]
            self.backends[name] = Backend(self, ip, service, "i-" + name)

    def stop(self, name):
        process = self.processes[name]
        self.record("SIGTERM", name)
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def restart(self, name):
        self.stop(name)
        time.sleep(0.4)
        self.start(name)

    def restart_in_turn(self, names, gap):
        """Restarts the processes one after the other, a SIGTERM every gap seconds. Returns the threads."""
        threads = []
        for name in names:
            threads.append(threading.Thread(target=self.restart, args=(name,)))
            threads[-1].start()
            time.sleep(gap)
        return threads

    def configure(self, version, routes, timeout_ms=800):
        services = sorted({service for _, service in routes})
        self.store.put("config", "main", {
            "version": version,
            "routes": [{"name": "r-%d" % port, "host": ROUTE, "path_prefix": "/%d/" % port,
                        "route_type": "safe", "timeout_ms": timeout_ms, "target_latency_ms": 120,
                        "priority": 2, "service": service, "max_attempts": 2} for port, service in routes],
            "services": [{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 30000}})
        self.record("configuration", version, "acknowledged")

    # What servers and clients see

    def on_arrival(self, backend, key, flags, body):
        self.arrivals.setdefault(key, []).append((time.monotonic(), backend, flags))
        self.record("arrives", "flow=%d" % key[1], "at", backend.name, "of", backend.service,
                    "flags=%d" % flags, "bytes=%d" % len(body))

    def on_opened(self, backend, key):
        self.owner[key] = (backend, time.monotonic())
        self.record("open", "flow=%d" % key[1], "at", backend.name)

    def on_reset(self, flow, by_system):
        key = (flow.client.number, flow.sport)
        owner = self.owner.get(key)
        is_broken = by_system and owner is not None and owner[0].state == "ready"
        self.record("reset", "flow=%d" % flow.sport, "by the system" if by_system else "by its server",
                    "while its server %s serves" % owner[0].name if is_broken else "")
        if is_broken:
            self.resets.append(key)

    def strayed(self):
        """Returns the open flows of which, for FLOW_WINDOW_S, three or more packets reached other servers and none
        its own, with the servers that they reached."""
        found = []
        for key, (own, opened) in self.owner.items():
            if own.state != "ready":
                continue
            others = []
            for at, backend, flags in list(self.arrivals[key]) + [(time.monotonic(), own, 0)]:
                if at <= opened:
                    continue
                if backend is not own:
                    others.append((at, backend))
                    continue
                if len(others) >= 3 and at - others[0][0] >= FLOW_WINDOW_S:
                    found.append((key, own, others))
                    break
                others = []
        return found

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("REVIEW_LOGS"):
            subprocess.run(["cp", "-r", str(self.folder), os.environ["REVIEW_LOGS"]], check=False)
        self.temporary.cleanup()
        self.record.write()


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def main(folder, case):
    """Runs case(deployment factory, trouble) and exits with its result; 2 if it could not run."""
    if not DAEMON.exists():
        print("the daemon is not built: " + str(DAEMON.relative_to(ROOT)))
        sys.exit(2)
    try:
        result = case(folder, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # a case that can't run says so
        print("could not run:", repr(error))
        result = 2
    sys.stdout.flush()
    os._exit(result)
