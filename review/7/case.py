"""Packets of open flows reach servers of another service, and not their own, while agents restart in turn."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from deployment import FLOW_WINDOW_S, Client, Deployment, main, wait_until  # noqa: E402

ROUTES = [(8443, "dispatch"), (8444, "quoting")]
FLOWS = 150
GAP_S = 1.0  # between two SIGTERMs of a restart in turn


def case(folder, trouble):
    d = Deployment(folder, 2, {"dispatch": 7, "quoting": 3})
    try:
        d.start_all()
        time.sleep(0.5)
        d.configure(3, ROUTES)
        if not wait_until(lambda: len(d.router.ready()) == 2, 10):
            return 2
        time.sleep(2)
        d.configure(5, ROUTES, timeout_ms=900)
        time.sleep(23)
        d.configure(8, ROUTES, timeout_ms=950)
        time.sleep(2)

        client = Client(d, "127.2.0.1")
        flows = [client.flow(1025 + n, 8443) for n in range(FLOWS)]
        opened = [f for f in flows if f.open() and f.request(2)]
        if len(opened) < FLOWS // 2:
            d.record("only", len(opened), "flows opened")
            return 2

        def use(flow, pause):
            time.sleep(pause)
            flow.request(6)

        restarts = []
        if trouble:
            # The whole service of quotes first, then the other agents.
            order = [n for n in d.agents if d.names[n][1] == "quoting"] \
                + [n for n in d.agents if d.names[n][1] == "dispatch"]
            thread = threading.Thread(target=lambda: restarts.extend(d.restart_in_turn(order, GAP_S)))
            thread.start()
        users = [threading.Thread(target=use, args=(f, 5 + 5 * n / FLOWS)) for n, f in enumerate(opened)]
        for user in users:
            user.start()
        for user in users:
            user.join()
        if trouble:
            thread.join()
            for restart in restarts:
                restart.join()
        time.sleep(1)
        strayed = d.strayed()
        for key, own, others in strayed:
            d.record("FLOW broken: flow=%d" % key[1], "of", own.name, "reached none but",
                     ", ".join("%s of %s at %.3f" % (b.name, b.service, at - d.record.start) for at, b in others),
                     "for %.1f s or more" % FLOW_WINDOW_S)
        foreign = sum(1 for k, (own, _) in d.owner.items()
                      if any(b.service != own.service for _, b, _ in d.arrivals[k]))
        text = "%d flows open, %d with packets at another service, %d with none at their own server, %d reset" % (
            len(opened), foreign, len(strayed), len(d.resets))
        d.record(text)
        print(text)
        return 1 if strayed or d.resets else 0
    finally:
        d.close()


main(FOLDER, case)
