#!/usr/bin/env python3
"""Runs real lavendercart-entry processes on loopback under random load and faults, and checks rules TWICE and
LOST."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from soak.faults import KINDS, LINKED_KINDS, NAMED_KINDS, Faults  # noqa: E402
from soak.fleet import Fleet  # noqa: E402
from soak.judge import summary  # noqa: E402
from soak.host_link import has_links  # noqa: E402
from soak.lost import LostWatch  # noqa: E402
from soak.load import DEFAULT_CELL_WORKERS, LASTING_SHARE_OF_JOBS, Load  # noqa: E402

START_S = 4.0
SETTLE_S = 15.0


def verdicts(judge):
    """What the verdicts that excuse fewer lapses count beside the breaks of the rule, with their words in records."""
    return ("idle-lapse-counted", judge.idle_lapse), ("any-lapse-counted", judge.any_lapse)


async def play(options, seed, folder):
    """One run. Returns the judge, the load, the watch for lost tasks and the accepted jobs that haven't ended."""
    draw = random.Random(seed)
    record = open(folder / "record.txt", "w", encoding="utf-8")
    loads = []
    fleet = Fleet(seed, options.hosts, options.workers, options.entry, folder, lambda task: loads[0].behaviour(task),
                  lambda line: record.write(line + "\n"), options.late_lapse, options.cell_workers)
    load = Load(fleet, random.Random(draw.random()), options.pace, options.lasting, options.wide_workers)
    loads.append(load)
    watch = LostWatch(fleet, load)
    faults = Faults(fleet, random.Random(draw.random()), options.kinds, options.gap, options.keep_ids)
    try:
        await fleet.start()
        await asyncio.sleep(START_S)
        clients = asyncio.ensure_future(load.run())
        watching = asyncio.ensure_future(watch.run())
        await asyncio.sleep(START_S)
        trouble = asyncio.ensure_future(faults.run())
        await asyncio.sleep(options.seconds)
        faults.stopped = True
        await trouble
        await faults.end()
        load.stopped = True
        await clients
        await asyncio.sleep(SETTLE_S if options.seconds else 0)
        unfinished = await load.unfinished(options.finish)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        if not watching.cancelled():
            raise watching.exception()
        for text in watch.breaks:
            fleet.note("LOST", text)
        for text in watch.before_replacement:
            fleet.note("lost-before-replacement", text)
        for text in fleet.judge.breaks:
            fleet.note("TWICE", text)
        for text in fleet.judge.by_late_lapse:
            fleet.note("by-late-lapse", text)
        for text in fleet.judge.excused:
            fleet.note("excused", text)
        for word, pairs in verdicts(fleet.judge):
            for pair in pairs:
                fleet.note(word, pair)
            fleet.note(word + "-count", summary(pairs))
        fleet.note("next-life-count", fleet.judge.coincidences())
        for job in unfinished:
            fleet.note("UNFINISHED", job)
        if faults.errors:
            raise faults.errors[0]
        return fleet.judge, load, watch, unfinished
    finally:
        fleet.close()
        record.close()


def share(text):
    value = float(text)
    if not 0 <= value <= 1:
        raise argparse.ArgumentTypeError("not from 0 to 1")
    return value


def parse(words):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", default="1", help="a seed, or a range such as 1-50")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--workers", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=40, help="time with faults")
    parser.add_argument("--finish", type=float, default=60, help="seconds without faults in which jobs have to end")
    parser.add_argument("--pace", type=float, default=4, help="jobs submitted each second")
    parser.add_argument("--lasting", type=share, default=LASTING_SHARE_OF_JOBS, help="share of jobs that last, 0 to 1")
    parser.add_argument("--cell-workers", type=int,
                        help="workers of a cell, a setting of the hosts; without it, their own default")
    parser.add_argument("--wide-workers", type=int,
                        help="wide steps need more than the room of so many workers; default: a cell's")
    parser.add_argument("--gap", type=float, default=1.5, help="mean seconds between two faults")
    parser.add_argument("--kinds", type=lambda text: text.split(","),
                        help="kinds of faults, separated by commas: " + ", ".join(KINDS)
                        + "; only if named: " + ", ".join(NAMED_KINDS))
    parser.add_argument("--keep-ids", action="store_true", help="a worker that crashes starts again under its id")
    parser.add_argument("--late-lapse", action="store_true",
                        help="a worker that stood still past its lease reads waiting calls before the lapse")
    parser.add_argument("--entry", type=pathlib.Path,
                        help="the program; default: that of the build folder with links between hosts")
    parser.add_argument("--build", type=pathlib.Path, default=pathlib.Path("build"))
    parser.add_argument("--keep", type=pathlib.Path, help="keep records and logs in this folder")
    options = parser.parse_args(words)
    options.wide_workers = options.wide_workers or options.cell_workers or DEFAULT_CELL_WORKERS
    options.entry = (options.entry or options.build / "bin/lavendercart-entry-linked").resolve()
    if not options.entry.exists():
        parser.error(f"no program at {options.entry}; run Tools/build.sh")
    unlinked = () if has_links(options.entry) else LINKED_KINDS
    options.kinds = options.kinds or [kind for kind in KINDS if kind not in unlinked]
    unknown = set(options.kinds) - {*KINDS, *NAMED_KINDS}
    if unknown:
        parser.error("unknown kinds of faults: " + ", ".join(sorted(unknown)))
    if set(options.kinds) & set(unlinked):
        parser.error(f"{options.entry} has no links between hosts, which these kinds cut: "
                     + ", ".join(sorted(set(options.kinds) & set(unlinked))))
    return options


def main(words):
    options = parse(words)
    first, _, last = options.seed.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory(prefix="lavendercart-soak-") as temporary:
            folder = pathlib.Path(temporary)
            if options.keep:
                folder = options.keep / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            judge, load, watch, unfinished = asyncio.run(play(options, seed, folder))
        broken += 1 if judge.breaks or watch.breaks or unfinished else 0
        late = f" (by a late lapse: {len(judge.by_late_lapse)})" if options.late_lapse else ""
        print(f"seed {seed}: TWICE {len(judge.breaks)}{late}, LOST {len(watch.breaks)} (before replacement "
              f"{len(watch.before_replacement)}, longest {watch.longest:.1f} s, late looks {watch.late}), "
              f"unfinished {len(unfinished)}, starts {judge.starts}, "
              f"ends noted {judge.noted}, exempt {judge.exempt} (started again: {len(judge.excused)}), "
              f"jobs accepted {len(load.accepted)}, "
              + ", ".join(f"{word} {summary(pairs)}" for word, pairs in verdicts(judge))
              + f", carried out by a next life: {judge.coincidences()}", flush=True)
        for text in judge.breaks[:5] + watch.breaks[:5]:
            print("  " + text, flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
