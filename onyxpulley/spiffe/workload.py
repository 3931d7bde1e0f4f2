"""The SPIFFE Workload API: X.509-SVIDs and bundles, as a stream that is called again when it breaks."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable
from typing import Any

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")  # its own lines tell nothing that the stream does not
import grpc  # noqa: E402
from cryptography.hazmat.primitives import serialization
from google.protobuf import descriptor_pb2, descriptor_pool, message, message_factory

from onyxpulley.logs import EventLogger
from onyxpulley.spiffe.backoff import Backoff
from onyxpulley.spiffe.ids import InvalidIdentity, read_spiffe_id, read_trust_domain
from onyxpulley.spiffe.store import IdentityUpdate
from onyxpulley.spiffe.svids import (
    Bundle,
    Svid,
    read_bundle,
    read_chain,
    read_der_certificates,
    read_svid,
    with_crls,
)

FETCH_METHOD = "/SpiffeWorkloadAPI/FetchX509SVID"
SECURITY_HEADER = (
    ("workload.spiffe.io", "true"),
)  # without it an agent must refuse: no web page can send it
MAX_MESSAGE_BYTES = 4_000_000  # bytes of one message
FIELD = descriptor_pb2.FieldDescriptorProto


def _messages() -> tuple[type[message.Message], type[message.Message]]:
    """Request and response by the field numbers of the Workload API."""
    file = descriptor_pb2.FileDescriptorProto(name="onyxpulley_workload.proto", syntax="proto3")
    svid = file.message_type.add(name="X509SVID")
    response = file.message_type.add(name="X509SVIDResponse")
    file.message_type.add(name="X509SVIDRequest")
    texts = {"spiffe_id": 1, "hint": 5}
    for name, number in {"spiffe_id": 1, "x509_svid": 2, "x509_svid_key": 3, "bundle": 4, "hint": 5}.items():
        kind = FIELD.TYPE_STRING if name in texts else FIELD.TYPE_BYTES
        svid.field.add(name=name, number=number, type=kind, label=FIELD.LABEL_OPTIONAL)
    entry = response.nested_type.add(name="FederatedBundlesEntry")
    entry.options.map_entry = True
    entry.field.add(name="key", number=1, type=FIELD.TYPE_STRING, label=FIELD.LABEL_OPTIONAL)
    entry.field.add(name="value", number=2, type=FIELD.TYPE_BYTES, label=FIELD.LABEL_OPTIONAL)
    many, nested = FIELD.LABEL_REPEATED, FIELD.TYPE_MESSAGE
    response.field.add(name="svids", number=1, type=nested, label=many, type_name="X509SVID")
    response.field.add(name="crl", number=2, type=FIELD.TYPE_BYTES, label=many)
    response.field.add(
        name="federated_bundles", number=3, type=nested, label=many,
        type_name="X509SVIDResponse.FederatedBundlesEntry",
    )  # fmt: skip
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    get = message_factory.GetMessageClass
    return (
        get(pool.FindMessageTypeByName("X509SVIDRequest")),
        get(pool.FindMessageTypeByName("X509SVIDResponse")),
    )


X509SvidRequest, X509SvidResponse = _messages()


def parse_response(data: bytes) -> Any:
    try:
        return X509SvidResponse.FromString(data)
    except message.DecodeError as problem:
        raise InvalidIdentity("message: cannot be read") from problem


def read_response(response: Any) -> IdentityUpdate:
    """Raises InvalidIdentity, which names the field."""
    svids: list[Svid] = []
    bundles: dict[str, Bundle] = {}
    for no, row in enumerate(response.svids, 1):
        label = f"svids[{no}]"
        chain = read_chain(read_der_certificates(row.x509_svid, f"{label}.x509_svid"), f"{label}.x509_svid")
        if read_spiffe_id(row.spiffe_id, f"{label}.spiffe_id") != chain.id:
            raise InvalidIdentity(f"{label}.spiffe_id: not that of its certificate")
        try:
            key = serialization.load_der_private_key(row.x509_svid_key, None)
        except (ValueError, TypeError) as problem:
            raise InvalidIdentity(f"{label}.x509_svid_key: no private key") from problem
        svids.append(read_svid(chain, key, f"{label}.x509_svid_key", row.hint))
        roots = read_der_certificates(row.bundle, f"{label}.bundle")
        bundles[chain.id.trust_domain] = read_bundle(chain.id.trust_domain, roots, f"{label}.bundle")
    for name, der in response.federated_bundles.items():
        domain = read_trust_domain(name, "federated_bundles")
        if domain not in bundles:  # the own one comes with the SVID
            bundles[domain] = read_bundle(
                domain, read_der_certificates(der, "federated_bundles"), "federated_bundles"
            )
    return IdentityUpdate(tuple(svids), {name: with_crls(b, response.crl) for name, b in bundles.items()})


class WorkloadApiClient:
    """Follows the agent at one address for as long as the program runs."""

    def __init__(
        self,
        address: str,  # `unix:/path`, or `host:port` on this machine
        backoff: Backoff,
        apply_update: Callable[[IdentityUpdate], bool],  # False: it was of no use
        seconds_left: Callable[[], float],  # seconds for which what is held lasts
        log_event: EventLogger,
    ) -> None:
        self.address, self.backoff, self.apply_update, self.seconds_left, self.log_event = (
            address,
            backoff,
            apply_update,
            seconds_left,
            log_event,
        )
        self.connected = False
        self.disconnects = 0

    async def follow(self) -> None:
        """Runs until cancelled."""
        while True:
            try:
                await self._stream()
                why = "the stream ended"
            except grpc.aio.AioRpcError as problem:
                why = f"{problem.code().name}: {(problem.details() or '')[:120]}"
            except InvalidIdentity as problem:
                why = f"message refused: {problem}"
            except Exception as problem:  # the library's own: what is held goes on
                why = f"{type(problem).__name__}: {problem}"[:160]
            self.connected = False
            self.disconnects += 1
            wait = self.backoff.next_delay(self.seconds_left())
            if (
                self.backoff.failures <= 3 or self.backoff.failures % 16 == 0
            ):  # not a line for each try of a long night
                self.log_event("agent", why=why, again_in=round(wait, 1), failures=self.backoff.failures)
            await asyncio.sleep(wait)

    async def _stream(self) -> None:
        options: Iterable[tuple[str, Any]] = (
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.enable_http_proxy", 0),
            ("grpc.keepalive_time_ms", 30_000),
        )
        async with grpc.aio.insecure_channel(self.address, options=tuple(options)) as channel:
            call = channel.unary_stream(
                FETCH_METHOD,
                request_serializer=X509SvidRequest.SerializeToString,
            )
            async for data in call(X509SvidRequest(), metadata=SECURITY_HEADER):
                if self.apply_update(read_response(parse_response(data))):
                    self.connected = True
                    self.backoff.reset()
