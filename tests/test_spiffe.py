"""Tests of identities without I/O: what is refused and why, and what becomes of open connections."""

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


# ---- SPIFFE IDs
@pytest.mark.parametrize(
    "text", ["spiffe://a/b", "spiffe://letra.example/box/s-00c4.f_7A", "spiffe://x/a/b/c"]
)
def test_a_valid_id_is_kept_as_written(text: str) -> None:
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
def test_a_malformed_id_is_refused_and_the_field_named(text: str) -> None:
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
    "CA flag": ((URI,), {"ca": True}, "is a CA certificate, not a leaf"),
}


@pytest.mark.parametrize("fault", LEAVES)
def test_a_certificate_that_is_not_an_svid_is_refused(fault: str) -> None:
    uris, faults, message = LEAVES[fault]
    with pytest.raises(InvalidIdentity, match=message):
        read_chain(HOME.issue(*uris, **faults)[0])


def refusal(call: Callable[[], object]) -> RefusalCause:
    """Returns the cause for which a call refuses a peer."""
    with pytest.raises(PeerRefused) as error:
        call()
    return error.value.cause


def identity_store(*domains: Authority, skew: float = 0.0, **faults: Any) -> IdentityStore:
    """Returns a store with an SVID of HOME and the bundles of HOME and `domains`."""
    identities = IdentityStore("letra.example", clock_skew=skew)
    bundles = {d.name: d.bundle() for d in (HOME, *domains)}
    identities.apply(IdentityUpdate((HOME.svid("/router", **faults),), bundles), now())
    return identities


def test_a_chain_is_valid_only_under_its_own_trust_domain_and_in_its_time() -> None:
    identities = identity_store(OTHER, skew=30.0)
    identities.verify(HOME.chain("/box/c0"), now())
    identities.verify(OTHER.chain("/box/c0"), now())
    impostor = read_chain(OTHER.issue(URI)[0])  # of a trusted authority, but of another trust domain
    assert refusal(lambda: identities.verify(impostor, now())) is RefusalCause.UNTRUSTED
    assert (
        refusal(lambda: identities.verify(Authority("sur.example").chain("/x"), now()))
        is RefusalCause.FOREIGN_DOMAIN
    )
    assert refusal(lambda: identities.verify(Authority().chain("/box/c0"), now())) is RefusalCause.UNTRUSTED
    assert refusal(lambda: identities.verify(HOME.chain("/x", until=-5), now())) is RefusalCause.EXPIRED
    assert refusal(lambda: identities.verify(HOME.chain("/x", since=60), now())) is RefusalCause.NOT_YET_VALID
    identities.verify(HOME.chain("/x", since=20), now())  # within the clock skew
    assert (
        refusal(lambda: identity_store().verify(HOME.chain("/x", since=20), now()))
        is RefusalCause.NOT_YET_VALID
    )


def test_an_intermediate_must_be_a_ca_certificate() -> None:
    intermediate = Authority("letra.example", parent=HOME)
    identity_store().verify(intermediate.chain("/box/c0"), now())
    leaf, key = HOME.issue(URI)
    leaf_as_ca = Authority("letra.example")
    leaf_as_ca.key = key
    leaf_as_ca.root = leaf[0]
    certs = [*leaf_as_ca.issue(URI)[0], leaf[0]]
    assert refusal(lambda: identity_store().verify(read_chain(certs), now())) is RefusalCause.UNTRUSTED


def test_a_serial_number_revoked_by_its_own_authority_is_refused() -> None:
    chain = HOME.chain("/box/c0")
    bundle = with_crls(HOME.bundle(), [HOME.crl(chain.certs[0]), OTHER.crl(*HOME.chain("/y").certs)])
    assert len(bundle.crls) == 1, "CRLs of other authorities do not apply"
    identities = identity_store()
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
def test_an_invalid_bundle_is_refused_and_named(fault: str) -> None:
    make, message = BUNDLES[fault]
    with pytest.raises(InvalidIdentity, match=f"bundle of letra.example: .*{message}"):
        read_bundle("letra.example", make())


# ---- Messages of the Workload API
def altered(**changes: Any) -> Any:
    """Returns a valid message but for the given fields of its SVID."""
    response = make_svid_response(HOME)
    for name, value in changes.items():
        setattr(response.svids[0], name, value)
    return response


MESSAGES: dict[str, tuple[Callable[[], Any], str]] = {
    "nothing": (lambda: make_response([], b""), "own SVID: none"),
    "other id": (
        lambda: altered(spiffe_id="spiffe://letra.example/else"),
        "spiffe_id: does not match its certificate",
    ),
    "bad id": (lambda: altered(spiffe_id="x"), r"svids\[1\].spiffe_id: not a SPIFFE ID"),
    "cut chain": (
        lambda: altered(x509_svid=make_svid_response(HOME).svids[0].x509_svid[:-1]),
        "1 cannot be read",
    ),
    "noise": (lambda: altered(x509_svid=b"\x30\x03abc"), "certificate 1 cannot be read"),
    "no chain": (lambda: altered(x509_svid=b""), "no certificate"),
    "another key": (
        lambda: altered(x509_svid_key=make_svid_response(HOME).svids[0].x509_svid_key),
        "does not match its certificate",
    ),
    "no key": (lambda: altered(x509_svid_key=b"x"), r"svids\[1\].x509_svid_key: not a private key"),
    "no bundle": (lambda: altered(bundle=b""), "no authority"),
    "another bundle": (lambda: altered(bundle=Authority().root.public_bytes(DER)), "own SVID: untrusted"),
    "expired": (lambda: make_svid_response(HOME, until=-1), "own SVID: expired"),
    "another domain": (lambda: make_svid_response(OTHER), "of trust domain norte.example"),
    "bad crl": (lambda: make_svid_response(HOME, crls=[b"x"]), "crl 1: cannot be read"),
}


@pytest.mark.parametrize("fault", MESSAGES)
def test_an_invalid_message_is_refused_on_one_line_and_changes_nothing(fault: str) -> None:
    identities = identity_store()
    svid, generation = identities.svid, identities.generation
    make, message = MESSAGES[fault]
    with pytest.raises(InvalidIdentity, match=message) as error:
        identities.apply(read_response(make()), now())
    assert "\n" not in str(error.value) and "PRIVATE" not in str(error.value)
    assert (
        identities.svid is svid
        and identities.generation == generation
        and identities.current_svid(now()) is svid
    )


def test_a_key_of_an_unsupported_type_is_refused() -> None:
    with pytest.raises(InvalidIdentity, match="not an EC, RSA or Ed25519 key"):
        read_svid(HOME.chain("/x"), dsa.generate_private_key(1024))


def test_concatenated_der_certificates_are_read_completely_or_not_at_all() -> None:
    data = HOME.root.public_bytes(DER) + OTHER.root.public_bytes(DER)
    assert read_der_certificates(data, "bundle") == [HOME.root, OTHER.root]
    for cut in (*range(1, 8), len(data) // 2, len(data) - 1):
        if cut != len(HOME.root.public_bytes(DER)):
            with pytest.raises(InvalidIdentity, match="bundle: certificate [12] cannot be read"):
                read_der_certificates(data[:cut], "bundle")


def test_an_svid_is_rotated_counts_as_late_and_expires() -> None:
    identities = identity_store(since=-10, until=100)
    assert identities.health(now()) is Health.GOOD
    same = identities.apply(IdentityUpdate((identities.svid,), dict(identities.bundles)), now())  # type: ignore[arg-type]
    assert not same and identities.generation == 1, "the same update again changes nothing"
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


# ---- Verification of peers, and open connections
def peer_verifier(expect: ExpectedIdentities | None = None, *domains: Authority) -> PeerVerifier:
    template = ExpectedIdentities("spiffe://letra.example/box/{id}")
    return PeerVerifier(
        identity_store(*domains), expect or template, ConnectionLifetime(renew_after=600.0, end_after=3.0)
    )


def test_a_server_must_have_the_identity_that_its_id_stands_for() -> None:
    named = {"c1": SpiffeId("norte.example", "/cache")}
    verifier = peer_verifier(
        ExpectedIdentities("spiffe://letra.example/box/{id}", named, frozenset({"c0", "c1"})), OTHER
    )
    assert verifier.verify_server("c0", HOME.chain("/box/c0"), now()).status is PeerStatus.VALID
    verifier.verify_server("c1", OTHER.chain("/cache"), now())
    assert (
        refusal(lambda: verifier.verify_server("c0", HOME.chain("/box/c1"), now()))
        is RefusalCause.OTHER_IDENTITY
    )
    assert (
        refusal(lambda: verifier.verify_server("c1", HOME.chain("/box/c1"), now()))
        is RefusalCause.OTHER_IDENTITY
    )
    assert refusal(lambda: verifier.expected_identity("c2", now())) is RefusalCause.NOT_LISTED
    assert refusal(lambda: peer_verifier().expected_identity("c 2/..", now())) is RefusalCause.NOT_LISTED, (
        "an id that is not valid in a path"
    )
    assert (
        verifier.refused[RefusalCause.OTHER_IDENTITY] == 2 and verifier.refused[RefusalCause.NOT_LISTED] == 1
    )


def status_after(
    verifier: PeerVerifier, chain: Chain, changes: Callable[[PeerVerifier], object]
) -> tuple[PeerStatus, RefusalCause | None]:
    """Returns the status of an open connection after a change, and why it is to be closed."""
    peer = verifier.verify_server("c0", chain, now())
    assert verifier.status(peer, now() + 1) is PeerStatus.VALID
    changes(verifier)
    return verifier.status(peer, now() + 1), peer.cause


def withdraw_authority(verifier: PeerVerifier) -> None:
    """Replaces the authority by another one."""
    successor = Authority()
    verifier.store.apply(
        IdentityUpdate((successor.svid("/router"),), {"letra.example": successor.bundle()}), now()
    )


def add_authority(verifier: PeerVerifier) -> None:
    """Adds the next authority beside the present one, and takes an SVID of it."""
    successor = Authority()
    both = read_bundle("letra.example", [HOME.root, successor.root])
    verifier.store.apply(IdentityUpdate((successor.svid("/router"),), {"letra.example": both}), now())


TEMPLATE = "spiffe://letra.example/box/{id}"
CHANGES: dict[str, tuple[Callable[[PeerVerifier], object], RefusalCause | None]] = {
    "own rotation": (
        lambda p: p.store.apply(IdentityUpdate((HOME.svid("/router"),), dict(p.store.bundles)), now()),
        None,
    ),
    "bundle rolls over": (add_authority, None),
    "root withdrawn": (withdraw_authority, RefusalCause.UNTRUSTED),
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
def test_an_open_connection_is_verified_again_after_a_change(what: str) -> None:
    changes, cause = CHANGES[what]
    expected = (PeerStatus.VALID if cause is None else PeerStatus.CLOSING, cause)
    assert status_after(peer_verifier(), HOME.chain("/box/c0"), changes) == expected


def test_requests_on_an_untrusted_connection_have_a_time_limit_and_on_an_old_one_none() -> None:
    verifier = peer_verifier()
    peer = verifier.verify_server("c0", HOME.chain("/box/c0", until=300), now())
    end = peer.chain.not_after
    assert verifier.status(peer, end - 1) is PeerStatus.VALID
    assert verifier.status(peer, end) is PeerStatus.CLOSING and peer.cause is RefusalCause.EXPIRED
    assert peer.closes_at == end + 3.0
    old = verifier.verify_server("c0", HOME.chain("/box/c0"), now())
    assert verifier.status(old, now() + 600) is PeerStatus.RENEW and old.closes_at == float("inf")
    withdraw_authority(verifier)
    assert verifier.status(old, now() + 601) is PeerStatus.CLOSING, "an old connection is verified as well"
    assert verifier.status(peer, now()) is PeerStatus.CLOSING, "trust that was lost is not restored"


def test_without_a_valid_svid_no_server_is_contacted_and_open_connections_are_closed() -> None:
    verifier = PeerVerifier(identity_store(until=50), ExpectedIdentities(TEMPLATE))
    peer = verifier.verify_server("c0", HOME.chain("/box/c0"), now())
    end = verifier.store.svid.chain.not_after  # type: ignore[union-attr]
    assert verifier.status(peer, end - 1) is PeerStatus.VALID
    assert verifier.status(peer, end) is PeerStatus.CLOSING and peer.cause is RefusalCause.NO_OWN_SVID
    assert refusal(lambda: verifier.expected_identity("c0", end)) is RefusalCause.NO_OWN_SVID


def test_caller_prefixes_match_whole_segments() -> None:
    callers = read_callers(["spiffe://letra.example/staff/*", "spiffe://letra.example/one"], "callers")
    for text, allowed in (
        ("spiffe://letra.example/staff/ana", True),
        ("spiffe://letra.example/staffette/ana", False),
        ("spiffe://letra.example/staff", False),
        ("spiffe://letra.example/one", True),
        ("spiffe://letra.example/one/more", False),
        ("spiffe://norte.example/staff/ana", False),
    ):
        assert is_allowed_caller(read_spiffe_id(text), callers) is allowed
    for malformed in ("spiffe://letra.example/a*", "letra.example/*", "spiffe://letra.example/a/../*"):
        with pytest.raises(InvalidIdentity, match="callers"):
            read_callers([malformed], "callers")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[boxes", "not valid TOML"),
        ("[hosts]", "unknown key 'hosts'"),
        ("boxes = 3", "boxes must be a table"),
        ("[boxes]\nc0 = 3", "boxes.c0 must be a SPIFFE ID: 3"),
        ('[boxes]\nc0 = "spiffe://x"', "boxes.c0: a workload's ID has a path"),
        ('revoked = ["spiffe://x/y", "z"]', "revoked 2: not a SPIFFE ID"),
    ],
)
def test_an_invalid_list_of_servers_is_refused_and_the_field_named(
    text: str, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "boxes.toml"
    path.write_text(text)
    with pytest.raises(InvalidIdentity, match=message):
        read_entries(TEMPLATE, path)


def test_the_back_off_grows_with_jitter_and_leaves_time_before_the_svid_expires() -> None:
    shortest, longest = Backoff(lambda: 0.0), Backoff(lambda: 1.0)
    delays = [longest.next_delay() for _ in range(12)]
    assert delays[:3] == [INITIAL_DELAY, 2 * INITIAL_DELAY, 4 * INITIAL_DELAY] and delays[-1] == MAX_DELAY
    assert all(shortest.next_delay() <= 0.1 * delay for delay in delays)
    assert longest.next_delay(seconds_left=9.0) <= 3.0, "two more attempts before the SVID expires"
    assert longest.next_delay(seconds_left=0.0) <= MAX_DELAY_WITHOUT_SVID, (
        "no server can be contacted until there is an SVID"
    )
    longest.reset()
    assert longest.next_delay() == INITIAL_DELAY
