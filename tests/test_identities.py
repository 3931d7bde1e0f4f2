"""Tests of the program with servers and callers that are verified by their SVIDs, over sockets."""

from __future__ import annotations

import asyncio
import json
import os
import ssl
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from onyxpulley import operator_config
from onyxpulley.config import BadConfig

from .issuer import Authority, FakeWorkloadApi, make_response, make_svid_response
from .player import SETTINGS, STEP_TIMEOUT_S, ExchangePlayer, free_port, read_cases

CASES = read_cases(Path(__file__).parent / "exchanges" / "identities.txt")
OPERATOR = """
[identities]
trust_domain = "letra.example"
workload_api = "127.0.0.1:{port}"
callers = ["spiffe://letra.example/staff/*"]
[identities.servers]
expect = "spiffe://letra.example/box/{{id}}"
entries = "boxes.toml"
renew_after_s = {renew}
end_after_s = 0.1
"""
FAULT_OPTIONS = ("until", "since", "usage")


class VerifiedExchangePlayer(ExchangePlayer):
    """Plays an exchange whose servers present SVIDs and whose router uses a fake Workload API.

    Additional steps:

    - `ID shows PATH [FAULT=SECONDS …] [by next|stray|between]`: the server's SVID is replaced; `~` stands for
      an empty path and `-` for no URI name, and a comma separates several names.
    - `ID also NAME`: the server has a second id.
    - `entries ID … [- SPIFFE_ID …]`: the list of servers is replaced, with the IDs behind the hyphen revoked.
    - `agent tells [FAULT=SECONDS …] [of both|next]`: the agent sends a new SVID.
    - `agent stops|starts|cuts|babbles|empties`: the agent goes away, comes back, ends its streams, sends a
      message that is cut off, or an empty one.
    - `ID turned away`: the caller's connection is refused.
    - `soon log has TEXT`: waits until the log contains TEXT.
    """

    def __init__(self, folder: Path, renew: float = 600.0) -> None:
        super().__init__(folder)
        # The exchanges use the names of these attributes.
        self.home = Authority()
        self.next = Authority()  # the successor of `home`
        self.stray = Authority()  # in no bundle
        self.between = Authority(parent=self.home)  # an intermediate
        self.agent = FakeWorkloadApi()
        self.renew = renew  # seconds, renew_after_s of the operator's file
        self.contexts: dict[str, ssl.SSLContext] = {}  # of the servers
        self.more_config = ""  # of the operator's file

    def server_tls(self, name: str) -> ssl.SSLContext | None:
        """Returns the TLS context of a server; the bulletin has none."""
        if name == "b":
            return None
        context = self.contexts[name] = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        for authority in (self.home, self.next):
            authority.write_bundle(self.folder / "ca.pem")
            context.load_verify_locations(self.folder / "ca.pem")
        self.show(name, f"/box/{name}", self.home, {})
        return context

    def show(self, name: str, path: str, authority: Authority, faults: dict[str, Any]) -> None:
        """Replaces the SVID of a server."""
        uris = [f"spiffe://letra.example{p}" for p in path.replace("~", "").split(",") if p != "-"]
        file = authority.write_svid(self.folder, f"{name}-box", *uris, **faults)
        self.contexts[name].load_cert_chain(file, file.with_suffix(".key"))

    def caller(self, name: str) -> ssl.SSLContext:
        """Returns the TLS context of a caller of the signed front."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE  # only the verification by the router is tested
        svids = {"h1": (self.home, "staff/ana"), "h2": (self.home, "guest"), "h3": (self.stray, "staff/ana")}
        if name in svids:
            authority, path = svids[name]
            file = authority.write_svid(self.folder, name, f"spiffe://letra.example/{path}")
            context.load_cert_chain(file, file.with_suffix(".key"))
        return context

    def write_entries(self, names: list[str]) -> None:
        """Replaces the list of servers: their ids, and behind a hyphen the revoked SPIFFE IDs."""
        boxes, _, revoked = " ".join(names).partition(" - ")
        text = "revoked = [" + ", ".join(f'"{spiffe_id}"' for spiffe_id in revoked.split()) + "]\n[boxes]\n"
        (self.folder / "boxes.new").write_text(text + "".join(f'{uid} = ""\n' for uid in boxes.split()))
        (self.folder / "boxes.new").rename(self.folder / "boxes.toml")

    async def start(self, servers: list[str]) -> None:
        """Starts the Workload API and the program, and waits until the program has an SVID."""
        self.write_entries(servers)
        await self.agent.start()
        self.agent.publish(make_svid_response(self.home))
        self.operator = self.more_config + OPERATOR.format(port=self.agent.port, renew=self.renew)
        await super().start(servers)
        await self.wait_for_log("event=reloaded source=agent svid=spiffe://letra.example/router")
        await self.wait_for_log("event=health state=good")

    async def wait_for_log(self, text: str) -> None:
        """Waits until the log contains a text."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while text not in self.log.read_text():
                await asyncio.sleep(0.02)

    async def wait_for_subscriber(self) -> None:
        """Waits until the program has a stream from the Workload API."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not self.agent.subscribers:
                await asyncio.sleep(0.02)

    async def run(self, lines: list[str]) -> None:
        """Plays an exchange and stops the Workload API."""
        try:
            await super().run(lines)
        finally:
            await self.agent.stop()

    async def step(self, line: str) -> None:
        """Plays one line."""
        words = line.split()
        options = [
            word.partition("=") for word in words if word.split("=")[0] in FAULT_OPTIONS and "=" in word
        ]
        faults: dict[str, Any] = {name: float(value) for name, _, value in options}
        if line.startswith("soon log has "):
            await self.wait_for_log(line.removeprefix("soon log has "))
        elif line.endswith("turned away"):
            with pytest.raises((OSError, AssertionError)):
                await self.send(words[0], "GET /health")
                await self.expect(words[0], "200")
            self.parties.pop(words[0], None)
        elif words[0] == "entries":
            self.write_entries(words[1:])
            await self.wait_for_log("event=reloaded source=entries")
        elif words[0] == "agent" and words[1] == "tells":
            authority = self.next if words[-1] == "next" else self.home
            message = make_svid_response(authority, **faults)
            if words[-1] == "both":
                message.svids[0].bundle = (
                    make_svid_response(self.home).svids[0].bundle
                    + make_svid_response(self.next).svids[0].bundle
                )
            before = self.log.read_text().count("source=agent svid")
            self.agent.publish(message)
            async with asyncio.timeout(STEP_TIMEOUT_S):
                while self.log.read_text().count("source=agent svid") == before:
                    await asyncio.sleep(0.02)
        elif words[0] == "agent":
            match words[1]:
                case "stops":
                    await self.agent.stop()
                case "starts":
                    self.agent.latest = make_svid_response(self.home)
                    await self.agent.start()
                case "cuts":
                    self.agent.break_streams()
                case "babbles" | "empties" if not self.agent.subscribers:
                    await self.wait_for_subscriber()
                    await self.step(line)
                case "babbles":
                    self.agent.publish(make_svid_response(self.home).SerializeToString()[:-40])
                    self.agent.latest = make_svid_response(self.home)
                case "empties":
                    self.agent.publish(make_response([], b""))
                    self.agent.latest = make_svid_response(self.home)
        elif len(words) > 1 and words[1] == "shows":
            authority = getattr(self, words[-1]) if words[-2] == "by" else self.home
            self.show(words[0], words[2], authority, faults)
        elif len(words) > 1 and words[1] == "also":
            self.parties[words[2]] = self.parties[words[0]]
        else:
            await super().step(line)


@pytest.mark.parametrize("lines", [pytest.param(lines, id=name) for name, lines in CASES])
def test_identities(lines: list[str], tmp_path: Path) -> None:
    renew = float(lines[0].partition("renew ")[2] or 600)

    async def play() -> None:
        await VerifiedExchangePlayer(tmp_path, renew).run([lines[0].partition(" renew ")[0], *lines[1:]])

    asyncio.run(play())


ASK = "c1 > ASK 1 page-file txn=9b1f03aa5c7e2d41,limit=4000,item=7f3a9c21e0b4d655,part=0,group=1,ram=40"
PAGE = "cls=page-file,item=7f3a9c21e0b4d655,chunk=0,limit={n}"
TAKEN = f"p0 < fetch 9b1f03aa5c7e2d41 {PAGE},handle=wait-for 0\\r\\n"
FAULTS = {
    "another server": ("/box/c1", "other identity"),
    "another authority": ("/box/c0 by stray", "untrusted"),
    "expired": ("/box/c0 until=-5", "expired"),
    "not yet valid": ("/box/c0 since=120", "not yet valid"),
    "two names": ("/box/c0,/box/c1", "2 URI names"),
    "no name": ("-", "no readable names"),
    "no path": ("~", "has a path"),
    "no key usage": ("/box/c0 usage=0", "key usage is missing"),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_server_with_an_unexpected_identity_receives_no_data(fault: str, tmp_path: Path) -> None:
    """An exchange fails if any party has unread bytes at the end, so c0 has received nothing."""
    shown, message = FAULTS[fault]
    lines = [
        "servers c0 p0 o",
        f"c0 shows {shown}",
        ASK,
        TAKEN,
        "p0 > 9b1f03aa5c7e2d41 data version=aa 2\\r\\nok",
        "c1 < 1 good have=aa ok",
        "log has part=identity event=refused peer=server:c0 ",
        f"log has {message}",
        "log lacks PRIVATE",
    ]
    asyncio.run(VerifiedExchangePlayer(tmp_path).run(lines))


def test_a_job_at_a_server_that_is_no_longer_trusted_fails_and_is_not_repeated(tmp_path: Path) -> None:
    job = "cls=convert-job,item=7f3a9c21e0b4d655,chunk=0,limit={n} 4\\r\\nwork"
    lines = [
        "servers c0 p0 o",
        ASK.replace("page-file", "convert-job").replace("ram=40", "ram=4 work"),
        f"o < fetch 9b1f03aa5c7e2d41 {job}",
        "entries c0 p0",
        'c1 < "*4\\r\\n$1\\r\\n1\\r\\n$6\\r\\nbroken\\r\\n$0\\r\\n\\r\\n$0\\r\\n\\r\\n"',
        "wait 0.3",
        'log has event=untrusted peer=server:o id=spiffe://letra.example/box/o cause="not listed"',
    ]
    asyncio.run(VerifiedExchangePlayer(tmp_path).run(lines))


def test_tls_sessions_are_resumed_and_their_servers_verified_again(tmp_path: Path) -> None:
    """The server closes the connection after each answer, so that the next one resumes the session."""

    async def play() -> None:
        player = VerifiedExchangePlayer(tmp_path)
        await player.run(
            [
                "servers c0 p0 o",
                *(
                    step
                    for no in range(3)
                    for step in (
                        ASK.replace("ASK 1", f"ASK {no + 1}").replace("2d41", f"2d4{no}"),
                        f"c0 < fetch 9b1f03aa5c7e2d4{no} {PAGE},fetch=p0,"
                        f"retain={1 if not no else 2},handle=wait-for+background 0\\r\\n",
                        f"c0 > 9b1f03aa5c7e2d4{no} data version=a{no} 2\\r\\nok",
                        f"c1 < {no + 1} good have=a{no} ok",
                        "c0 close",
                        "wait 0.1",
                    )
                ),
                "k1 > METRICS",
                "wait 0.2",
                "entries p0 o",
                ASK.replace("2d41", "2d49").replace("ASK 1", "ASK 9"),
                TAKEN.replace("2d41", "2d49"),
                "p0 > 9b1f03aa5c7e2d49 data version=aa 2\\r\\nok",
                "c1 < 9 good have=aa ok",
                "keep k1",
            ]
        )

    class Stop(Exception):
        pass

    async def step_with_metrics(self: VerifiedExchangePlayer, line: str) -> None:
        if line == "keep k1":
            metrics = self.parties["k1"].received.decode()
            self.parties["k1"].received = b""
            assert "app.handshakes_full:1|c" in metrics and "app.handshakes_resumed:2|c" in metrics, metrics
            assert "app.peers_refused.other_identity:0|c" in metrics
            return
        await original_step(self, line)

    original_step = VerifiedExchangePlayer.step
    monkeypatch = pytest.MonkeyPatch()
    monkeypatch.setattr(VerifiedExchangePlayer, "step", step_with_metrics)
    try:
        asyncio.run(play())
    finally:
        monkeypatch.undo()


def test_calls_of_the_workload_api_have_the_security_header(tmp_path: Path) -> None:
    player = VerifiedExchangePlayer(tmp_path)
    asyncio.run(player.run(["servers c0 p0 o", "wait 0.1"]))
    assert ("workload.spiffe.io", "true") in player.agent.headers and player.agent.call_count == 1


def test_callers_of_the_signed_front_are_verified(tmp_path: Path) -> None:
    """h1 is allowed; h2 is not, h3 is of an unknown authority, and h4 has no certificate."""
    player = VerifiedExchangePlayer(tmp_path)
    player.client_tls = player.caller
    player.more_config = '[signed]\nlisten = "127.0.0.1:HTTP"\npublic = "https://x"\n'
    lines = [
        "servers c0 p0 o",
        "h1 > GET /health",
        'h1 < 200 ; "status":"fit"',
        "h1 > GET /health",
        "h1 < 200",
    ]
    lines += [f"{name} turned away" for name in ("h2", "h3", "h4")]
    lines += [
        "entries c0 p0 o - spiffe://letra.example/staff/ana",
        "h1 > GET /health",
        "h1 < 401 ; connect again",
    ]
    asyncio.run(player.run([*lines, "h1 end"]))
    assert 'peer=caller why="not listed: spiffe://letra.example/guest"' in player.log.read_text()


def test_nothing_is_lost_while_identities_rotate_under_load(tmp_path: Path) -> None:
    """400 requests are answered while the SVID, the bundle and the servers' SVIDs change five times."""
    player = VerifiedExchangePlayer(tmp_path, renew=0.4)
    answers: list[bytes] = []

    async def send_requests() -> None:
        for name in ("c0", "c1x", "p0", "o"):
            player.parties[name].answers_by_itself = True
        client = await player.party("c1")
        for no in range(1, 401):
            fields = f"txn={no:016x},limit=4000,item={no % 40:016x},part=0,group=1,ram=4"
            await player.send("c1", f"ASK {no} page-file {fields}")
            if no % 80 == 0:
                for name in ("c0", "c1x"):
                    player.show(name, f"/box/{name}", player.home, {})
                await player.step("agent tells of both" if no % 160 else "agent tells")
            await asyncio.sleep(0.005)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while client.received.count(b"\r\ngood\r\n") < 400:
                await asyncio.sleep(0.02)
        answers.append(client.received)
        client.received = b""

    async def play() -> None:
        original_step = player.step

        async def step_with_load(line: str) -> None:
            await (send_requests() if line == "load" else original_step(line))

        player.step = step_with_load  # type: ignore[method-assign]
        await player.run(
            ["servers c0 c1x p0 o", "load", "k1 > METRICS", "wait 0.3", "log lacks refused", "k1 forget"]
        )

    asyncio.run(play())
    assert answers[0].count(b"\r\ngood\r\n") == 400
    assert player.log.read_text().count("source=agent svid=spiffe:") == 6
    assert player.parties["c0"].connections > 2, "old connections were renewed"


@pytest.mark.parametrize(("table", "module", "file"), [
    ('[records]\nfolder = "r"\n', "pyarrow", "requirements-incident.txt"),
    (OPERATOR.format(port=9, renew=9), "OpenSSL", "requirements-identities.txt"),
])  # fmt: skip
def test_a_package_that_is_not_installed_is_reported_on_one_line(
    table: str, module: str, file: str, tmp_path: Path
) -> None:
    (tmp_path / "boxes.toml").write_text("[boxes]\n")
    (tmp_path / "operator.toml").write_text(table)
    config = {"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(config))
    code = (
        f"import sys; sys.modules[{module!r}] = None; from onyxpulley.program import main; sys.exit(main())"
    )
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": f"127.0.0.1:{free_port()}"}
    env["ONYXPULLEY_OPERATOR"] = str(tmp_path / "operator.toml")
    run = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=30)
    (message,) = [line for line in run.stderr.splitlines() if line.startswith("onyxpulley: ")]
    assert run.returncode == 2 and module in message and file in message and "Traceback" not in run.stderr


HEAD = '[identities]\ntrust_domain = "letra.example"\n'
SERVERS = HEAD + 'workload_api = "unix:/x"\n[identities.servers]\n'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('[identities]\ntrust_domain = "Letra"\nworkload_api = "unix:/x"', "identities.trust_domain"),
        (HEAD, "either workload_api, or"),
        (HEAD + 'workload_api = "unix:/x"\ncertificate = "a"', "either workload_api, or"),
        (HEAD + 'workload_api = "nowhere"', "identities.workload_api is not host:port"),
        (HEAD + 'workload_api = "unix:/x"\nskew_s = -1', "skew_s must be a number of seconds"),
        (HEAD + 'workload_api = "unix:/x"\ncallers = ["x"]', "identities.callers: not a SPIFFE ID"),
        (SERVERS + 'renew_after_s = 1', "expect, or entries"),
        (SERVERS + 'expect = "spiffe://x/y"', "must contain {id} exactly once"),
        (SERVERS + 'expect = "spiffe://x/{id}/../y"', "bad path segment"),
        (SERVERS + 'expect = "spiffe://x/{id}"\nend_after_s = 99',
         "end_after_s must be a number of seconds from 0 to 60"),
        (HEAD + 'workload_api = "unix:/x"\nspire = 1', "unknown key 'spire'"),
    ],
)  # fmt: skip
def test_an_error_in_the_operators_file_names_the_field(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(BadConfig) as error:
        operator_config.load(path)
    assert message in str(error.value) and "\n" not in str(error.value)
