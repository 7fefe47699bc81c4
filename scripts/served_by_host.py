#!/usr/bin/env python3
"""Compares what the hosts of a fleet served in a time window, from the "relay end" lines of their logs.

    served_by_host.py LOG FROM TO [MIN_RATIO]

LOG: lines of all hosts, each with a time in seconds and the host's name before it. A request counts at the time at which it
was received. Requests that an account can't pay for are left out, and hosts with fewer than 10 requests. Exit status 1
if the worst third of the hosts served less than MIN_RATIO (0.95) of what the best third did.
"""
import collections
import re
import sys

MIN_REQUESTS = 10
LINE = re.compile(r"\s*(-?[\d.]+) (\S+) .* event=end ")
FIELD = re.compile(r" (\w+)=(\S+)")


def read(path, begin, end):
    total, served, reasons = collections.Counter(), collections.Counter(), collections.Counter()
    with open(path, errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if not match:
                continue
            fields = dict(FIELD.findall(line))
            received = float(match[1]) - int(fields["total_ms"]) / 1000
            if not begin <= received < end or fields["reason"] == "budget_exhausted":
                continue
            total[match[2]] += 1
            served[match[2]] += fields["reason"] == "none" and fields["status"].startswith("2")
            if fields["reason"] != "none":
                reasons[fields["reason"]] += 1
    shares = sorted((served[h] / total[h], total[h]) for h in total if total[h] >= MIN_REQUESTS)
    return shares, reasons


def main():
    if len(sys.argv) not in (4, 5):
        sys.exit(__doc__)
    shares, reasons = read(sys.argv[1], float(sys.argv[2]), float(sys.argv[3]))
    if not shares:
        sys.exit("no host has enough requests in this window")
    n = max(1, len(shares) // 3)
    worst = sum(s for s, _ in shares[:n]) / n
    best = sum(s for s, _ in shares[-n:]) / n
    ratio = worst / best if best else 1.0
    print(f"worst third {worst:.2f}, best third {best:.2f}, ratio {ratio:.2f};",
          " ".join(f"{s:.2f}/{t}" for s, t in shares), dict(reasons.most_common(4)))
    sys.exit(ratio < (float(sys.argv[4]) if len(sys.argv) == 5 else 0.95))


if __name__ == "__main__":
    main()
