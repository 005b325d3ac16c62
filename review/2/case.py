"""A new version sends new flows of a route to another service; open flows of the route are used on."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as lib

ROUTE = ("127.18.0.1", 8443)


def run(rig, trouble):
    rig.add_front("front-a-1", "a")
    rig.add_front("front-b-1", "b")
    for number in range(3):
        rig.add_side(f"side-old-{number}", "ab"[number % 2], "desk-old")
    for number in range(2):
        rig.add_side(f"side-new-{number}", "ab"[number % 2], "desk-new")
    services = ["desk-old", "desk-new"]
    rig.configure([(*ROUTE, "desk-old")], services)
    rig.start()
    clients = [rig.add_client(zone) for zone in "ab"]
    flows = [clients[number % 2].open(ROUTE) for number in range(12)]
    served = sum(flow.request() is not None for flow in flows)
    rig.record("client", f"{served} of {len(flows)} flows are served before the change")
    if served < len(flows):
        return 2
    target = "desk-new" if trouble else "desk-old"
    rig.configure([(*ROUTE, target)], services)
    answers = []

    def use(flow):
        for _ in range(4):
            time.sleep(1.5)
            answers.append(flow.request())

    threads = [threading.Thread(target=use, args=(flow,)) for flow in flows]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    fresh = clients[0].open(ROUTE)
    body = fresh.request()
    rig.record("client", f"a new flow after the change is answered by {body}")
    reset = [flow for flow in flows if flow.reset_at is not None]
    return lib.finish(rig, [(f"FLOW (a): {len(reset)} of {len(flows)} open flows were reset by the system while "
                             "their backends served and their route was configured", bool(reset))])


lib.main(run)
