"""Checks that brokers of this tree and of another tree work side by side, and on each other's data.

    python benchmarks/mixed_builds.py OTHER_TREE

A fleet of four brokers with membership, cells, seats and the HTTP entry point runs two brokers of each tree.
Each broker serves a set-up of each class; tokens come from the other tree's command line. Then all brokers
restart on the same disks with the trees swapped, two of them once more after SIGKILL. At each stage both
command lines read the stores, the settled ledgers, the key folder, the control ports and the files under
deploy/, and must print the same. The exit status is 1 if a check failed.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.trees import THIS_TREE
from lotuspick.lab.fleet.fleet_rig import FleetRig
from lotuspick.lab.fleet.reserved_port import ReservedPort
from lotuspick.lab.fleet.site_settings import IDEMPOTENT_CLASS, PAID_CLASS
from lotuspick.lab.rtsp import STATUS_OK, RtspAnswer, RtspConnection

NODES = 3
SEED = 7
LOAD_RATE_PER_S = 20.0  # at each broker
LOAD_S = 8.0
MIN_LOAD_SET_UPS = 300
PATIENT_DETECTION = {"silent_ms": 1_500, "doubt_ms": 1_800}  # the machine may be busy
VIEWER, TENANT, TITLE, SEAT_AUDIENCE = "v1", "law", "aa00", "lotuspick"
CELL_PLAN = f"""
enabled = true
epoch = 1
default = "open"
[budgets.tenant]
ratio = 5.0
floor = 50.0
[cells.open]
[cells.norte]
positions = [0]
[[assign]]
tenant = "{TENANT}"
cell = "open"
"""
FAULT_WORDS = ("Traceback", "malformed", "_failed")
DEPLOY_FILES = ("hints", "tenants", "cells", "seats", "peers")


class Checks:
    """Prints the result of each check and counts the failed ones."""

    def __init__(self) -> None:
        self.failed = 0

    def expect(self, is_met: bool, description: str) -> None:
        """Record one check."""
        self.failed += not is_met
        print(f"{'ok    ' if is_met else 'FAILED'} {description}", flush=True)


class Trees:
    """The two trees, by label, and their command lines."""

    def __init__(self, other: Path) -> None:
        self.paths: Mapping[str, Path] = {"other": other, "this": THIS_TREE}

    def run(self, label: str, *arguments: str | Path) -> subprocess.CompletedProcess[str]:
        """Run ``lotuspick`` of a tree and return its result."""
        command = [sys.executable, "-m", "lotuspick", *map(str, arguments)]
        return subprocess.run(command, cwd=self.paths[label], capture_output=True, text=True)

    def run_both(self, *arguments: str | Path) -> tuple[bool, str]:
        """Run a command of both trees; return whether both succeed with one output, and the output."""
        results = [self.run(label, *arguments) for label in self.paths]
        same = results[0].stdout == results[1].stdout and not any(each.returncode for each in results)
        return same, results[1].stdout.strip() or results[1].stderr.strip()


class MixedFleet(FleetRig):
    """A fleet whose brokers run from different trees."""

    def __init__(self, folder: Path, trees: Trees, labels: Sequence[str]) -> None:
        self.trees = trees
        self.labels = dict(enumerate(labels))
        self.http_ports = [ReservedPort() for _ in labels]
        super().__init__(folder, len(labels), NODES, SEED, failure_detection=PATIENT_DETECTION, proxied=False)

    @property
    def key_folder(self) -> Path:
        """The folder of the signing keys."""
        return self.folder / "keys"

    def store(self, broker: int) -> Path:
        """The folder of a broker's seat store."""
        return self.folder / f"store{broker}"

    def describe(self, broker: int) -> str:
        """Name a broker and its tree."""
        return f"broker {broker} ({self.labels[broker]} tree)"

    def prepare(self) -> None:
        """Write the cell plan and make a key."""
        (self.folder / "cells.toml").write_text(CELL_PLAN)
        self.trees.run("other", "keys", "make", "--keys", self.key_folder)

    def configure_broker(self, broker: int) -> None:
        """Write a broker's files."""
        super().configure_broker(broker)
        self.broker_file(broker, "-seats.toml").write_text(
            f'enabled = true\naudience = "{SEAT_AUDIENCE}"\nkeys = "{self.key_folder.name}"\n'
            f'store = "{self.store(broker).name}"\n'
        )
        self.broker_file(broker, "-hints.toml").write_text(
            f'enabled = true\nlisten = "127.0.0.1:{self.http_ports[broker].number}"\n'
        )

    def broker_options(self, broker: int) -> list[str]:
        """The files of all subsystems."""
        return [
            *super().broker_options(broker),
            *("--cells", str(self.folder / "cells.toml")),
            *("--seats", str(self.broker_file(broker, "-seats.toml"))),
            *("--hints", str(self.broker_file(broker, "-hints.toml"))),
        ]

    def launch(self, broker: int) -> None:
        """Start a broker from its tree."""
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        with self.broker_file(broker, ".log").open("a") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *self.broker_command(broker)],
                cwd=self.trees.paths[self.labels[broker]],
                stdout=subprocess.DEVNULL,
                stderr=log,
                text=True,
                env=environment,
            )
        self.processes.append(process)
        self.brokers[broker] = process

    def restart(self, labels: Mapping[int, str]) -> None:
        """Start brokers that have ended, from the given trees."""
        self.labels.update(labels)
        for broker in labels:
            self.launch(broker)
        for broker in labels:
            self.wait_until_serving(broker)

    def incarnations(self, broker: int) -> dict[str, int]:
        """The incarnations of all members, as a broker knows them."""
        return {member["member"]: member["life"] for member in self.query(broker, "show")["members"]}

    def last_event(self, broker: int, event: str) -> str:
        """The last log line of an event, from the event on; empty if there is none."""
        marker = f"msg={event} "
        lines = [line for line in self.broker_log(broker).splitlines() if marker in line]
        return lines[-1].partition("msg=")[2] if lines else ""

    def close(self) -> None:
        """End all processes and release all ports."""
        super().close()
        for port in self.http_ports:
            port.close()


def set_up(port: int, session: str, session_class: str, token: str = "") -> RtspAnswer:
    """Request one session, and tear it down if it is served."""

    async def request() -> RtspAnswer:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(RtspConnection, "127.0.0.1", port)
        headers = {
            "P-Kind": session_class,
            "P-Time-Left": "3000",
            "P-Path": f"home:1;copies:3;top:2;viewer:{VIEWER}",
            "X-Length": "20000.0",
            "P-Billed": TENANT,
            **({"P-Token": token} if token else {}),
        }
        answer = await connection.request("SETUP", "1", session, headers, "seat=b0", TITLE)
        if answer.status == STATUS_OK:
            await connection.request("TEARDOWN", "2", session, {})
        return answer

    return asyncio.run(request())


class MixedBuildsTrial:
    """All checks, on one fleet."""

    def __init__(self, fleet: MixedFleet, trees: Trees, checks: Checks) -> None:
        self.fleet, self.trees = fleet, trees
        self.expect = checks.expect
        self.brokers = range(len(fleet.labels))
        self.tokens: dict[int, str] = {}

    def run(self) -> None:
        """Run all stages."""
        self.check_agreement("started")
        self.serve("1")
        first_tokens = dict(self.tokens)
        self.check_members()
        self.check_stores("while serving")
        incarnations = {broker: self.fleet.incarnations(broker) for broker in self.brokers}
        self.swap_trees()
        self.check_restored(incarnations, first_tokens)
        self.serve("3")
        self.check_members()
        self.kill_and_swap(0, 2)
        self.reload()
        self.check_load()
        self.check_logs()
        self.drain()

    def check_agreement(self, stage: str) -> None:
        """Check that all brokers believe each other alive, at quorum state whole."""
        took_s = self.fleet.wait_for_agreement(self.brokers)
        trees = ", ".join(f"{broker} {label}" for broker, label in sorted(self.fleet.labels.items()))
        self.expect(True, f"{stage} ({trees}): all agree at quorum state whole after {took_s:.1f} s")

    def serve(self, stage: str) -> None:
        """Request a session of each class at each broker, with a token of the other tree's command line."""
        for broker in self.brokers:
            port, name = self.fleet.rtsp_ports[broker].number, self.fleet.describe(broker)
            issuer = "this" if self.fleet.labels[broker] == "other" else "other"
            arguments = (f"seat{stage}{broker}", VIEWER, TENANT, TITLE, "--cls", PAID_CLASS)
            issued = self.trees.run(issuer, "seats", "issue", *arguments, "--keys", self.fleet.key_folder)
            token = self.tokens[broker] = issued.stdout.strip()
            prefix = f"{stage}{broker}"
            plain = set_up(port, f"{prefix}aa000000000000", IDEMPOTENT_CLASS)
            self.expect(plain.status == STATUS_OK, f"{name}: plain set-up answered {plain.status}")
            paid = set_up(port, f"{prefix}bb000000000000", PAID_CLASS, token)
            self.expect(
                paid.status == STATUS_OK,
                f"{name}: paid set-up with a token of the {issuer} tree answered {paid.status} {paid.reason}",
            )
            missing = set_up(port, f"{prefix}cc000000000000", PAID_CLASS)
            self.expect(
                missing.reason == "token-missing",
                f"{name}: paid set-up without a token answered {missing.status} {missing.reason}",
            )

    def check_members(self) -> None:
        """Check that both command lines read the control port of every broker."""
        for broker in self.brokers:
            peers = self.fleet.peers_file(broker)
            for label in self.trees.paths:
                shown = self.trees.run(label, "members", "show", "--peers", peers)
                explained = self.trees.run(label, "members", "explain", f"n{broker ^ 1}", "--peers", peers)
                is_met = shown.stdout.count(" alive ") == len(self.brokers) and not explained.returncode
                self.expect(
                    is_met, f"{self.fleet.describe(broker)}: members show, explain of the {label} tree"
                )

    def check_stores(self, stage: str) -> None:
        """Check that both command lines read every seat store, and settle them to the same bytes."""
        for broker in self.brokers:
            store = self.fleet.store(broker)
            same, output = self.trees.run_both("seats", "show", store)
            self.expect(same and "counted 1" in output, f"{stage}, store {broker}: {output}")
            same, output = self.trees.run_both("seats", "show", store, f"seat1{broker}")
            self.expect(same and "counted: True" in output, f"{stage}, store {broker}: one seat")
        ledgers = [f"n{broker}={self.fleet.store(broker)}" for broker in self.brokers]
        files = {label: self.fleet.folder / f"settled-{label}.jsonl" for label in self.trees.paths}
        settled = {
            label: self.trees.run(label, "seats", "settle", *ledgers, "--into", file).stdout
            for label, file in files.items()
        }
        same = settled["this"] == settled["other"] and files["this"].read_text() == files["other"].read_text()
        self.expect(same and "counted=4" in settled["this"], f"{stage}, settle: {settled['this'].strip()}")
        for label, source in (("this", "other"), ("other", "this")):
            again = self.trees.run(label, "seats", "settle", ledgers[0], "--into", files[source])
            self.expect(
                "counted=4" in again.stdout, f"{stage}, settle of the {label} tree on the {source}'s file"
            )

    def swap_trees(self) -> None:
        """Stop all brokers, and start each from the other tree on the same disk."""
        for broker in self.brokers:
            self.fleet.brokers[broker].terminate()
        for broker in self.brokers:
            status = self.fleet.brokers[broker].wait()
            self.expect(status == 0, f"{self.fleet.describe(broker)}: SIGTERM ends it with status {status}")
        self.check_stores("after SIGTERM")
        swapped = {"this": "other", "other": "this"}
        self.fleet.restart({broker: swapped[label] for broker, label in self.fleet.labels.items()})
        self.check_agreement("trees swapped on the same disks")

    def check_restored(self, before: Mapping[int, Mapping[str, int]], used_tokens: Mapping[int, str]) -> None:
        """Check the incarnations and the ledgers that the other tree stored."""
        for broker in self.brokers:
            name = self.fleet.describe(broker)
            incarnations = self.fleet.incarnations(broker)
            risen = all(value == before[broker][member] + 1 for member, value in incarnations.items())
            self.expect(risen, f"{name}: incarnations {incarnations}, one more than stored")
            restored = self.fleet.last_event(broker, "ledger_restored")
            self.expect("seats=1 " in restored, f"{name}: {restored}")
            port = self.fleet.rtsp_ports[broker].number
            answer = set_up(port, f"2{broker}ff000000000000", PAID_CLASS, used_tokens[broker])
            self.expect(answer.reason == "token-spent", f"{name}: used token answered {answer.reason}")

    def kill_and_swap(self, *brokers: int) -> None:
        """Kill brokers, and start each from the other tree."""
        swapped = {"this": "other", "other": "this"}
        for broker in brokers:
            self.fleet.kill(broker)
        self.fleet.restart({broker: swapped[self.fleet.labels[broker]] for broker in brokers})
        self.check_agreement("two killed and swapped")

    def reload(self) -> None:
        """Check that all brokers read their configuration again."""
        for broker in self.brokers:
            self.fleet.brokers[broker].send_signal(signal.SIGHUP)
        for broker in self.brokers:
            self._wait(lambda at=broker: bool(self.fleet.last_event(at, "configuration_reloaded")), "reload")
        self.expect(True, "SIGHUP: all reload")

    def _wait(self, condition: Callable[[], bool], description: str) -> None:
        self.fleet.wait_until(condition, description)

    def check_load(self) -> None:
        """Check that a load of plain set-ups over all brokers is answered once each."""
        self.fleet.start_load(LOAD_RATE_PER_S, paid=0.0)
        time.sleep(LOAD_S)
        results = self.fleet.stop_load()
        wrong = [each for each in results if each.status != STATUS_OK or each.answer_count != 1]
        is_met = not wrong and len(results) >= MIN_LOAD_SET_UPS
        self.expect(is_met, f"load: {len(results)} plain set-ups, {len(wrong)} not served exactly once")

    def check_logs(self) -> None:
        """Check that no broker logged a fault or a malformed message."""
        for broker in self.brokers:
            lines = self.fleet.broker_log(broker).splitlines()
            faults = [line for line in lines if any(word in line for word in FAULT_WORDS)]
            self.expect(not faults, f"{self.fleet.describe(broker)}: faults in the log: {faults or 'none'}")

    def drain(self) -> None:
        """Check that each command line drains a member at a broker of the other tree."""
        for broker, member, label in ((1, "n3", "other"), (2, "n0", "other"), (1, "n2", "this")):
            done = self.trees.run(label, "members", "drain", member, "--peers", self.fleet.peers_file(broker))
            text = f"{self.fleet.describe(broker)}: members drain {member} of the {label} tree"
            self.expect(done.returncode == 0, f"{text}: {done.stdout.strip() or done.stderr.strip()}")


def check_key_folders(folder: Path, trees: Trees, checks: Checks) -> None:
    """Check key folders, tokens and lists of revoked seats that both trees write in turn."""
    for label, second in (("this", "other"), ("other", "this")):
        keys, revoked = folder / f"keys-{label}", folder / f"revoked-{label}.jsonl"
        for maker in (label, second):
            trees.run(maker, "keys", "make", "--keys", keys)
        same, output = trees.run_both("keys", "list", "--keys", keys)
        checks.expect(same and output.count("signs") == 2, f"keys of the {label} and then the {second} tree")
        arguments = ("s1", VIEWER, TENANT, TITLE, "--cls", PAID_CLASS)
        token = trees.run(label, "seats", "issue", *arguments, "--keys", keys).stdout.strip()
        renewed = trees.run(second, "seats", "renew", token, "--keys", keys)
        checks.expect(not renewed.returncode, f"token of the {label} tree renewed by the {second} tree")
        trees.run(label, "seats", "revoke", "s1", "--list", revoked)
        extended = trees.run(second, "seats", "revoke", "s2", "--list", revoked)
        checks.expect("2 seats" in extended.stdout, f"list of revoked seats of the {label} tree extended")


def check_deploy_files(folder: Path, trees: Trees, checks: Checks, configuration: Path) -> None:
    """Check that both trees read each other's files under deploy/, as they are and switched on."""
    for owner, tree in trees.paths.items():
        for switched_on in (False, True):
            copy = folder / f"deploy-{owner}-{switched_on}"
            shutil.copytree(tree / "deploy", copy)
            if switched_on:
                _switch_on(copy)
            options = [text for name in DEPLOY_FILES for text in (f"--{name}", str(copy / f"{name}.toml"))]
            same, output = trees.run_both("check-config", "--config", configuration, *options)
            state = "switched on" if switched_on else "as they are"
            checks.expect(same, f"deploy files of the {owner} tree, {state}: {output}")


def _switch_on(folder: Path) -> None:
    for name in DEPLOY_FILES:
        file = folder / f"{name}.toml"
        text = file.read_text().replace("enabled = false", "enabled = true")
        file.write_text(text.replace("seeds = []", 'seeds = ["127.0.0.1:7400"]'))


def main() -> int:
    """Run all checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("other", type=Path, metavar="OTHER_TREE")
    trees, checks = Trees(parser.parse_args().other.resolve()), Checks()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        fleet = MixedFleet(folder, trees, ("other", "other", "this", "this"))
        try:
            MixedBuildsTrial(fleet, trees, checks).run()
        finally:
            fleet.close()
        check_key_folders(folder, trees, checks)
        check_deploy_files(folder, trees, checks, fleet.broker_file(0, ".json"))
    print(f"{checks.failed} checks failed")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
