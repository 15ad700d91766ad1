"""A lavendercart-entry process, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess

from soak.http import call

BOUNDS = {"config_apply_ms": 3000, "contact_ms": 4000, "drain_ms": 3000, "grace_s": 6, "max_hold_ms": 10000,
          "slowdown_factor": 3}
REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent


def role(repository):
    """The texts of the deploy file's only role."""
    text = (repository / "deploy/system.toml").read_text(encoding="utf-8")
    return dict(re.findall(r'^(\w+) = "([^"]*)"', text[text.index("[roles."):], re.M))


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            value = None
    return value


def _plain(value):
    return "" if value is None else str(value) if not isinstance(value, (dict, list)) else json.dumps(value)


def render(text, fields):
    """Fills the deploy file's template: values, JSON values and sections."""
    def section(match):
        value = _lookup(fields, match.group(2))
        present = value is not None and value is not False
        if match.group(1) == "^":
            return "" if present else match.group(3)
        return match.group(3).replace("{{.}}", _plain(value)) if present else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(_lookup(fields, match.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: _plain(_lookup(fields, match.group(1))), text)


class Host:
    """One host; its process may be ended and started again. `ports`: front, readiness, control and beats."""

    def __init__(self, name, zone, region, ip, ports, seeds, store, program, folder, note,
                 environment=None, cell_workers=None):
        self.name, self.zone, self.region, self.ip, self.ports = name, zone, region, ip, ports
        self.seeds, self.store, self.program, self.folder, self.note = seeds, store, program, folder, note
        self.environment = environment or {}
        # Written only if given: older programs refuse settings that they don't know.
        self.cell_workers = cell_workers
        self.front = f"{ip}:{ports['front']}"
        self.process = None
        self.starts = 0
        self.frozen = False
        # Faults that leave it a share of a core.
        self.throttled = 0
        # Signals other than that for reloading, and resets of its connections.
        self.disruptions = 0
        # Replaced by another host: its process isn't started again.
        self.gone = False

    @property
    def up(self):
        return self.process is not None and self.process.poll() is None

    def settings(self):
        """The text of the settings file."""
        fields = {
            "node_name": self.name, "zone": self.zone, "region": self.region, "ip": self.ip,
            "listen_addrs": {"front": self.front, "readiness": f"{self.ip}:{self.ports['readiness']}",
                             "control": f"{self.ip}:{self.ports['control']}"},
            "port_range": [self.ports["beats"], self.ports["beats"] + 15], "platform": {"address": self.store},
            "seeds": self.seeds, "limits": {"cpu_share": 0.25, "cores": 1}, "bounds": BOUNDS,
        }
        template = REPOSITORY / role(REPOSITORY)["template"]
        text = render(template.read_text(encoding="utf-8"), fields)
        if self.cell_workers is None:
            return text
        return json.dumps(dict(json.loads(text), cells={"workers": self.cell_workers}), indent=4)

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(self.settings(), encoding="utf-8")
        words = [str(path) if word.startswith("/etc/") else word for word in role(REPOSITORY)["run"].split()]
        words[0] = str(self.program)
        self.starts += 1
        self.frozen = False
        with open(self.folder / f"{self.name}.{self.starts}.log", "wb") as log:
            self.process = subprocess.Popen(words, cwd=REPOSITORY, stdout=log, stderr=subprocess.STDOUT,
                                            env=dict(os.environ, **self.environment,
                                                     LAVENDERCART_BOOT=str(path)))
        self.note("host-started", self.name, f"pid={self.process.pid}")

    async def listens(self):
        """Whether the process takes calls of other hosts."""
        try:
            _, writer = await asyncio.open_connection(self.ip, self.ports["control"])
        except OSError:
            return False
        writer.close()
        return True

    def signal(self, number):
        if not self.up:
            return
        self.process.send_signal(number)
        self.disruptions += number != signal.SIGHUP
        self.note("signal", self.name, signal.Signals(number).name)

    def freeze(self):
        self.signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self):
        self.signal(signal.SIGCONT)
        self.frozen = False

    def end(self):
        """Ends the process for good."""
        if self.up:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def call(self, method, target, body=None, timeout=3.0):
        return await call(self.front, method, target, body, timeout=timeout)
