"""Identities as decisions: what is refused and why, what stays in force, what becomes of open connections."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import dsa

from onyxpulley.spiffe.backoff import INITIAL_DELAY, MAX_DELAY, MAX_DELAY_WITHOUT_SVID, Backoff
from onyxpulley.spiffe.files import read_entries
from onyxpulley.spiffe.ids import InvalidIdentity, SpiffeId, read_spiffe_id
from onyxpulley.spiffe.peers import (
    ConnectionLifetime,
    ExpectedIdentities,
    PeerStatus,
    PeerVerifier,
    is_allowed_caller,
    read_callers,
)
from onyxpulley.spiffe.store import Health, IdentityStore, IdentityUpdate
from onyxpulley.spiffe.svids import (
    Chain,
    PeerRefused,
    RefusalCause,
    read_bundle,
    read_chain,
    read_der_certificates,
    read_svid,
    with_crls,
)
from onyxpulley.spiffe.workload import read_response

from .issuer import DER, Authority, make_response, make_svid_response

now = time.time
HOME, OTHER = Authority(), Authority("norte.example")


# ---- Names
@pytest.mark.parametrize(
    "text", ["spiffe://a/b", "spiffe://letra.example/box/s-00c4.f_7A", "spiffe://x/a/b/c"]
)
def test_an_id_reads_as_it_is_written(text: str) -> None:
    assert str(read_spiffe_id(text)) == text


@pytest.mark.parametrize(
    "text",
    [
        "", "http://a/b", "SPIFFE://a/b", "spiffe:///b", "spiffe://a", "spiffe://a/", "spiffe://a/b/",
        "spiffe://a//b",
        "spiffe://A/b", "spiffe://a/./b", "spiffe://a/..", "spiffe://a/b?c", "spiffe://a/b#c", "spiffe://u@a/b",
        "spiffe://a:8/b", "spiffe://a/é", "spiffe://a/%41", f"spiffe://{'a' * 256}/b",
        "spiffe://a/" + "b" * 2040,
    ],
)  # fmt: skip
def test_a_malformed_id_is_refused_with_its_field(text: str) -> None:
    with pytest.raises(InvalidIdentity, match="^expect: "):
        read_spiffe_id(text, "expect")


# ---- SVIDs and bundles
URI = "spiffe://letra.example/box/c0"
LEAVES: dict[str, tuple[tuple[str, ...], dict[str, Any], str]] = {
    "no name": ((), {}, "no readable names"),
    "two names": ((URI, URI + "1"), {}, "2 URI names"),
    "no path": (("spiffe://letra.example",), {}, "has a path"),
    "no SPIFFE ID": (("https://letra.example/x",), {}, "not a SPIFFE ID"),
    "no key usage": ((URI,), {"usage": False}, "key usage is missing"),
    "CA flag": ((URI,), {"ca": True}, "no leaf"),
}


@pytest.mark.parametrize("fault", LEAVES)
def test_a_leaf_that_is_no_svid_is_refused(fault: str) -> None:
    uris, faults, said = LEAVES[fault]
    with pytest.raises(InvalidIdentity, match=said):
        read_chain(HOME.issue(*uris, **faults)[0])


def refusal(call: Callable[[], object]) -> RefusalCause:
    with pytest.raises(PeerRefused) as problem:
        call()
    return problem.value.cause


def held(*domains: Authority, skew: float = 0.0, **faults: Any) -> IdentityStore:
    identities = IdentityStore("letra.example", clock_skew=skew)
    bundles = {d.name: d.bundle() for d in (HOME, *domains)}
    identities.apply(IdentityUpdate((HOME.svid("/router", **faults),), bundles), now())
    return identities


def test_a_chain_is_vouched_for_by_its_own_domain_alone_and_in_its_time() -> None:
    identities = held(OTHER, skew=30.0)
    identities.verify(HOME.chain("/box/c0"), now())
    identities.verify(OTHER.chain("/box/c0"), now())
    posing = read_chain(OTHER.issue(URI)[0])  # a genuine authority, of another domain
    assert refusal(lambda: identities.verify(posing, now())) is RefusalCause.UNTRUSTED
    assert (
        refusal(lambda: identities.verify(Authority("sur.example").chain("/x"), now()))
        is RefusalCause.FOREIGN_DOMAIN
    )
    assert refusal(lambda: identities.verify(Authority().chain("/box/c0"), now())) is RefusalCause.UNTRUSTED
    assert refusal(lambda: identities.verify(HOME.chain("/x", until=-5), now())) is RefusalCause.EXPIRED
    assert refusal(lambda: identities.verify(HOME.chain("/x", since=60), now())) is RefusalCause.NOT_YET_VALID
    identities.verify(HOME.chain("/x", since=20), now())  # an issuer's clock may be ahead that much
    assert refusal(lambda: held().verify(HOME.chain("/x", since=20), now())) is RefusalCause.NOT_YET_VALID


def test_intermediates_count_only_as_signing_certificates() -> None:
    between = Authority("letra.example", parent=HOME)
    held().verify(between.chain("/box/c0"), now())
    leaf, key = HOME.issue(URI)
    below = Authority("letra.example")
    below.key, below.root = key, leaf[0]  # a leaf that signs another one
    certs = [*below.issue(URI)[0], leaf[0]]
    assert refusal(lambda: held().verify(read_chain(certs), now())) is RefusalCause.UNTRUSTED


def test_a_revoked_serial_is_refused_if_its_own_authority_says_so() -> None:
    chain = HOME.chain("/box/c0")
    bundle = with_crls(HOME.bundle(), [HOME.crl(chain.certs[0]), OTHER.crl(*HOME.chain("/y").certs)])
    assert len(bundle.crls) == 1, "lists of other authorities say nothing here"
    identities = held()
    identities.bundles["letra.example"] = bundle
    assert refusal(lambda: identities.verify(chain, now())) is RefusalCause.REVOKED
    identities.verify(HOME.chain("/box/c0"), now())


BUNDLES: dict[str, tuple[Callable[[], list[x509.Certificate]], str]] = {
    "empty": (list, "no authority"),
    "a leaf": (lambda: HOME.issue(URI)[0], "CA flag"),
    "no constraints": (lambda: HOME.issue(URI, constraints=False)[0], "authority 1: ExtensionNotFound"),
    "another domain": (lambda: [OTHER.root], "another trust domain"),
    "too many": (lambda: [HOME.root] * 65, "more than 64"),
}


@pytest.mark.parametrize("fault", BUNDLES)
def test_a_bad_bundle_is_refused_and_named(fault: str) -> None:
    make, said = BUNDLES[fault]
    with pytest.raises(InvalidIdentity, match=f"bundle of letra.example: .*{said}"):
        read_bundle("letra.example", make())


# ---- The agent's messages
def spoilt(**changes: Any) -> Any:
    message = make_svid_response(HOME)
    for name, value in changes.items():
        setattr(message.svids[0], name, value)
    return message


MESSAGES: dict[str, tuple[Callable[[], Any], str]] = {
    "nothing": (lambda: make_response([], b""), "own SVID: none"),
    "other id": (lambda: spoilt(spiffe_id="spiffe://letra.example/else"), "spiffe_id: not that of"),
    "bad id": (lambda: spoilt(spiffe_id="x"), r"svids\[1\].spiffe_id: not a SPIFFE ID"),
    "cut chain": (
        lambda: spoilt(x509_svid=make_svid_response(HOME).svids[0].x509_svid[:-1]),
        "1 cannot be read",
    ),
    "noise": (lambda: spoilt(x509_svid=b"\x30\x03abc"), "certificate 1 cannot be read"),
    "no chain": (lambda: spoilt(x509_svid=b""), "no certificate"),
    "another key": (
        lambda: spoilt(x509_svid_key=make_svid_response(HOME).svids[0].x509_svid_key),
        "not that of its",
    ),
    "no key": (lambda: spoilt(x509_svid_key=b"x"), r"svids\[1\].x509_svid_key: no private key"),
    "no bundle": (lambda: spoilt(bundle=b""), "no authority"),
    "another bundle": (lambda: spoilt(bundle=Authority().root.public_bytes(DER)), "own SVID: untrusted"),
    "expired": (lambda: make_svid_response(HOME, until=-1), "own SVID: expired"),
    "another domain": (lambda: make_svid_response(OTHER), "of trust domain norte.example"),
    "bad crl": (lambda: make_svid_response(HOME, crls=[b"x"]), "crl 1: cannot be read"),
}


@pytest.mark.parametrize("fault", MESSAGES)
def test_a_bad_message_is_one_line_and_what_was_good_stays(fault: str) -> None:
    identities = held()
    own, generation = identities.svid, identities.generation
    make, said = MESSAGES[fault]
    with pytest.raises(InvalidIdentity, match=said) as problem:
        identities.apply(read_response(make()), now())
    assert "\n" not in str(problem.value) and "PRIVATE" not in str(problem.value)
    assert (
        identities.svid is own
        and identities.generation == generation
        and identities.current_svid(now()) is own
    )


def test_a_key_of_a_kind_that_is_not_used_is_refused() -> None:
    with pytest.raises(InvalidIdentity, match="no EC, RSA or Ed25519"):
        read_svid(HOME.chain("/x"), dsa.generate_private_key(1024))


def test_der_behind_der_is_read_whole_or_not_at_all() -> None:
    data = HOME.root.public_bytes(DER) + OTHER.root.public_bytes(DER)
    assert read_der_certificates(data, "bundle") == [HOME.root, OTHER.root]
    for cut in (*range(1, 8), len(data) // 2, len(data) - 1):
        if cut != len(HOME.root.public_bytes(DER)):
            with pytest.raises(InvalidIdentity, match="bundle: certificate [12] cannot be read"):
                read_der_certificates(data[:cut], "bundle")


def test_identities_rotate_go_late_and_fail_closed() -> None:
    identities = held(since=-10, until=100)
    assert identities.health(now()) is Health.GOOD
    same = identities.apply(IdentityUpdate((identities.svid,), dict(identities.bundles)), now())  # type: ignore[arg-type]
    assert not same and identities.generation == 1, "the same once more changes nothing"
    end = identities.svid.chain.not_after  # type: ignore[union-attr]
    assert identities.health(end - 1) is Health.LATE and identities.current_svid(end - 1)
    assert identities.health(end) is Health.EXPIRED
    assert refusal(lambda: identities.current_svid(end)) is RefusalCause.NO_OWN_SVID
    change = identities.apply(IdentityUpdate((HOME.svid("/router"),), dict(identities.bundles)), now())
    assert (
        change.svid_changed
        and not change.changed_bundles
        and identities.rotations == 1
        and identities.current_svid(end)
    )
    hinted = IdentityStore("letra.example", hint="internal")
    with pytest.raises(InvalidIdentity, match="hint 'internal'"):
        hinted.apply(IdentityUpdate((HOME.svid("/router"),), {"letra.example": HOME.bundle()}), now())


# ---- Who is expected, and open connections
def peers(expect: ExpectedIdentities | None = None, *domains: Authority) -> PeerVerifier:
    template = ExpectedIdentities("spiffe://letra.example/box/{id}")
    return PeerVerifier(
        held(*domains), expect or template, ConnectionLifetime(renew_after=600.0, end_after=3.0)
    )


def test_a_server_is_who_its_id_says_and_nobody_else() -> None:
    named = {"c1": SpiffeId("norte.example", "/cache")}
    known = peers(
        ExpectedIdentities("spiffe://letra.example/box/{id}", named, frozenset({"c0", "c1"})), OTHER
    )
    assert known.verify_server("c0", HOME.chain("/box/c0"), now()).status is PeerStatus.VALID
    known.verify_server("c1", OTHER.chain("/cache"), now())
    assert (
        refusal(lambda: known.verify_server("c0", HOME.chain("/box/c1"), now()))
        is RefusalCause.OTHER_IDENTITY
    )
    assert (
        refusal(lambda: known.verify_server("c1", HOME.chain("/box/c1"), now()))
        is RefusalCause.OTHER_IDENTITY
    )
    assert refusal(lambda: known.expected_identity("c2", now())) is RefusalCause.NOT_LISTED
    assert refusal(lambda: peers().expected_identity("c 2/..", now())) is RefusalCause.NOT_LISTED, (
        "an id that is no segment"
    )
    assert known.refused[RefusalCause.OTHER_IDENTITY] == 2 and known.refused[RefusalCause.NOT_LISTED] == 1


def chain_of(
    known: PeerVerifier, chain: Chain, changes: Callable[[PeerVerifier], object]
) -> tuple[PeerStatus, RefusalCause | None]:
    bond = known.verify_server("c0", chain, now())
    assert known.status(bond, now() + 1) is PeerStatus.VALID
    changes(known)
    return known.status(bond, now() + 1), bond.cause


def withdraw(known: PeerVerifier) -> None:
    after = Authority()
    known.store.apply(IdentityUpdate((after.svid("/router"),), {"letra.example": after.bundle()}), now())


def roll(known: PeerVerifier) -> None:
    """The next authority beside the present one, and an SVID of it."""
    after = Authority()
    both = read_bundle("letra.example", [HOME.root, after.root])
    known.store.apply(IdentityUpdate((after.svid("/router"),), {"letra.example": both}), now())


TEMPLATE = "spiffe://letra.example/box/{id}"
CHANGES: dict[str, tuple[Callable[[PeerVerifier], object], RefusalCause | None]] = {
    "own rotation": (
        lambda p: p.store.apply(IdentityUpdate((HOME.svid("/router"),), dict(p.store.bundles)), now()),
        None,
    ),
    "bundle rolls over": (roll, None),
    "root withdrawn": (withdraw, RefusalCause.UNTRUSTED),
    "entry taken away": (
        lambda p: p.update_expected(ExpectedIdentities(TEMPLATE, {}, frozenset({"c1"}))),
        RefusalCause.NOT_LISTED,
    ),
    "another identity": (
        lambda p: p.update_expected(
            ExpectedIdentities("", {"c0": read_spiffe_id("spiffe://letra.example/box/n0")})
        ),
        RefusalCause.OTHER_IDENTITY,
    ),
    "revoked by name": (
        lambda p: p.update_expected(ExpectedIdentities(TEMPLATE, revoked=frozenset({read_spiffe_id(URI)}))),
        RefusalCause.REVOKED,
    ),
}


@pytest.mark.parametrize("what", CHANGES)
def test_a_connection_stands_or_ends_by_what_it_rests_on(what: str) -> None:
    changes, cause = CHANGES[what]
    expected = (PeerStatus.VALID if cause is None else PeerStatus.CLOSING, cause)
    assert chain_of(peers(), HOME.chain("/box/c0"), changes) == expected


def test_what_runs_on_an_untrusted_connection_has_its_stated_time_and_an_old_one_ends_in_peace() -> None:
    known = peers()
    bond = known.verify_server("c0", HOME.chain("/box/c0", until=300), now())
    end = bond.chain.not_after
    assert known.status(bond, end - 1) is PeerStatus.VALID
    assert known.status(bond, end) is PeerStatus.CLOSING and bond.cause is RefusalCause.EXPIRED
    assert bond.closes_at == end + 3.0
    old = known.verify_server("c0", HOME.chain("/box/c0"), now())
    assert known.status(old, now() + 600) is PeerStatus.RENEW and old.closes_at == float("inf")
    withdraw(known)
    assert known.status(old, now() + 601) is PeerStatus.CLOSING, "old or not, trust is looked at"
    assert known.status(bond, now()) is PeerStatus.CLOSING, "once gone is gone"


def test_without_an_own_identity_nobody_is_asked_and_open_connections_take_nothing() -> None:
    known = PeerVerifier(held(until=50), ExpectedIdentities(TEMPLATE))
    bond = known.verify_server("c0", HOME.chain("/box/c0"), now())
    end = known.store.svid.chain.not_after  # type: ignore[union-attr]
    assert known.status(bond, end - 1) is PeerStatus.VALID
    assert known.status(bond, end) is PeerStatus.CLOSING and bond.cause is RefusalCause.NO_OWN_SVID
    assert refusal(lambda: known.expected_identity("c0", end)) is RefusalCause.NO_OWN_SVID


def test_callers_are_let_in_by_whole_segments() -> None:
    callers = read_callers(["spiffe://letra.example/staff/*", "spiffe://letra.example/one"], "callers")
    for text, fits in (
        ("spiffe://letra.example/staff/ana", True),
        ("spiffe://letra.example/staffette/ana", False),
        ("spiffe://letra.example/staff", False),
        ("spiffe://letra.example/one", True),
        ("spiffe://letra.example/one/more", False),
        ("spiffe://norte.example/staff/ana", False),
    ):
        assert is_allowed_caller(read_spiffe_id(text), callers) is fits
    for bad in ("spiffe://letra.example/a*", "letra.example/*", "spiffe://letra.example/a/../*"):
        with pytest.raises(InvalidIdentity, match="callers"):
            read_callers([bad], "callers")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[boxes", "no TOML"),
        ("[hosts]", "unknown key 'hosts'"),
        ("boxes = 3", "boxes is a table"),
        ("[boxes]\nc0 = 3", "boxes.c0 names no"),
        ('[boxes]\nc0 = "spiffe://x"', "boxes.c0: a workload's ID has a path"),
        ('revoked = ["spiffe://x/y", "z"]', "revoked 2: not a SPIFFE ID"),
    ],
)
def test_a_bad_list_of_boxes_is_refused_with_its_field(text: str, said: str, tmp_path: Path) -> None:
    path = tmp_path / "boxes.toml"
    path.write_text(text)
    with pytest.raises(InvalidIdentity, match=said):
        read_entries(TEMPLATE, path)


def test_the_agent_is_called_again_ever_later_but_in_time_and_spread() -> None:
    low, high = Backoff(lambda: 0.0), Backoff(lambda: 1.0)
    waits = [high.next_delay() for _ in range(12)]
    assert waits[:3] == [INITIAL_DELAY, 2 * INITIAL_DELAY, 4 * INITIAL_DELAY] and waits[-1] == MAX_DELAY
    assert all(low.next_delay() <= 0.1 * wait for wait in waits)
    assert high.next_delay(seconds_left=9.0) <= 3.0, "twice more before what is held ends"
    assert high.next_delay(seconds_left=0.0) <= MAX_DELAY_WITHOUT_SVID, "nobody is asked until it comes"
    high.reset()
    assert high.next_delay() == INITIAL_DELAY
