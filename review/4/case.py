"""The weights of a route's two services change; then one front machine is restarted. Open flows are used on."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as lib

ROUTE = ("127.18.0.1", 8443)


def run(rig, trouble):
    for number, zone in enumerate("aabb"):
        rig.add_front(f"front-{zone}-{number}", zone)
    for number in range(3):
        rig.add_side(f"side-one-{number}", "ab"[number % 2], "desk-one")
    for number in range(3):
        rig.add_side(f"side-two-{number}", "ab"[number % 2], "desk-two")
    services = ["desk-one", "desk-two"]
    rig.configure([(*ROUTE, [("desk-one", 90), ("desk-two", 10)])], services)
    rig.start(settle_s=6.0)
    clients = [rig.add_client(zone) for zone in "ab"]
    flows = [clients[number % 2].open(ROUTE) for number in range(64)]
    served = sum(flow.request() is not None for flow in flows)
    rig.record("client", f"{served} of {len(flows)} flows are served before the change")
    if served < len(flows):
        return 2
    weights = (10, 90) if trouble else (90, 10)
    rig.configure([(*ROUTE, list(zip(services, weights)))], services)
    end = time.monotonic() + 16.0

    def use(flow, pause):
        time.sleep(pause)
        while time.monotonic() < end and flow.state == "open":
            flow.request()
            time.sleep(0.8)

    threads = [threading.Thread(target=use, args=(flow, number / len(flows))) for number, flow in enumerate(flows)]
    for thread in threads:
        thread.start()
    time.sleep(5.0)
    still_open = sum(flow.state == "open" for flow in flows)
    rig.record("client", f"{still_open} of {len(flows)} flows are open 5 s after the change")
    rig.fronts[0].restart()
    for thread in threads:
        thread.join()
    reset = [flow for flow in flows if flow.reset_at is not None]
    return lib.finish(rig, [(f"FLOW (a): {len(reset)} of {len(flows)} open flows were reset by the system while "
                             "their backends served and their route was configured", bool(reset))])


lib.main(run)
