"""Merges measurements into one JSON object and adds the names of the targets that are missed."""

import json
import sys

TARGETS = {
    "forwardingVsRelay": ("above", 0.80),
    "pickNanoseconds13": ("below", 150),
    "pickNanoseconds1000": ("below", 1000),
    "balancerTableMegabytes": ("below", 64),
    "imbalance": ("below", 1.10),
    "shortP99WithStragglersRatio": ("below", 1.5),
    "crestGoodputVsBound": ("above", 0.95),
}


def is_met(value, target):
    side, bound = target
    return value > bound if side == "above" else value < bound


def main():
    report = {}
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as file:
            report.update(json.load(file))
    report["missed"] = [name for name, target in TARGETS.items()
                        if not is_met(report[name], target)]
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
