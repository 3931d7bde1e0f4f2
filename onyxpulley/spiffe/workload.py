"""Client of the SPIFFE Workload API: X.509-SVIDs and bundles from a stream that is reopened when it ends."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable
from typing import Any

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")  # the errors of the stream are logged here
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
# The agent must refuse calls without this header, which protects it from server-side request forgery.
SECURITY_HEADER = (("workload.spiffe.io", "true"),)
MAX_MESSAGE_BYTES = 4_000_000
KEEPALIVE_MS = 30_000
FIELD = descriptor_pb2.FieldDescriptorProto


def _message_types() -> tuple[type[message.Message], type[message.Message]]:
    """Returns the types of request and response, with the field numbers of the Workload API."""
    file = descriptor_pb2.FileDescriptorProto(name="onyxpulley_workload.proto", syntax="proto3")
    svid = file.message_type.add(name="X509SVID")
    response = file.message_type.add(name="X509SVIDResponse")
    file.message_type.add(name="X509SVIDRequest")
    string_fields = {"spiffe_id": 1, "hint": 5}
    for name, number in {"spiffe_id": 1, "x509_svid": 2, "x509_svid_key": 3, "bundle": 4, "hint": 5}.items():
        field_type = FIELD.TYPE_STRING if name in string_fields else FIELD.TYPE_BYTES
        svid.field.add(name=name, number=number, type=field_type, label=FIELD.LABEL_OPTIONAL)
    entry = response.nested_type.add(name="FederatedBundlesEntry")
    entry.options.map_entry = True
    entry.field.add(name="key", number=1, type=FIELD.TYPE_STRING, label=FIELD.LABEL_OPTIONAL)
    entry.field.add(name="value", number=2, type=FIELD.TYPE_BYTES, label=FIELD.LABEL_OPTIONAL)
    repeated, nested = FIELD.LABEL_REPEATED, FIELD.TYPE_MESSAGE
    response.field.add(name="svids", number=1, type=nested, label=repeated, type_name="X509SVID")
    response.field.add(name="crl", number=2, type=FIELD.TYPE_BYTES, label=repeated)
    response.field.add(
        name="federated_bundles", number=3, type=nested, label=repeated,
        type_name="X509SVIDResponse.FederatedBundlesEntry",
    )  # fmt: skip
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    get_class = message_factory.GetMessageClass
    return (
        get_class(pool.FindMessageTypeByName("X509SVIDRequest")),
        get_class(pool.FindMessageTypeByName("X509SVIDResponse")),
    )


X509SvidRequest, X509SvidResponse = _message_types()


def parse_response(data: bytes) -> Any:
    """Decodes an X509SVIDResponse. Raises InvalidIdentity."""
    try:
        return X509SvidResponse.FromString(data)
    except message.DecodeError as error:
        raise InvalidIdentity("message: cannot be read") from error


def read_response(response: Any) -> IdentityUpdate:
    """Returns the SVIDs and bundles of an X509SVIDResponse.

    Raises InvalidIdentity, with the name of the field, if any of them is not valid.
    """
    svids: list[Svid] = []
    bundles: dict[str, Bundle] = {}
    for number, entry in enumerate(response.svids, 1):
        label = f"svids[{number}]"
        chain = read_chain(read_der_certificates(entry.x509_svid, f"{label}.x509_svid"), f"{label}.x509_svid")
        if read_spiffe_id(entry.spiffe_id, f"{label}.spiffe_id") != chain.id:
            raise InvalidIdentity(f"{label}.spiffe_id: does not match its certificate")
        try:
            key = serialization.load_der_private_key(entry.x509_svid_key, None)
        except (ValueError, TypeError) as error:
            raise InvalidIdentity(f"{label}.x509_svid_key: not a private key") from error
        svids.append(read_svid(chain, key, f"{label}.x509_svid_key", entry.hint))
        authorities = read_der_certificates(entry.bundle, f"{label}.bundle")
        bundles[chain.id.trust_domain] = read_bundle(chain.id.trust_domain, authorities, f"{label}.bundle")
    for name, der in response.federated_bundles.items():
        trust_domain = read_trust_domain(name, "federated_bundles")
        if trust_domain not in bundles:  # the bundles of the SVIDs' own trust domains take precedence
            bundles[trust_domain] = read_bundle(
                trust_domain, read_der_certificates(der, "federated_bundles"), "federated_bundles"
            )
    return IdentityUpdate(
        tuple(svids), {name: with_crls(bundle, response.crl) for name, bundle in bundles.items()}
    )


class WorkloadApiClient:
    """Receives identities from the agent at one address.

    `address` is `unix:/path`, or `host:port` on this machine. `apply_update` returns whether an update was
    valid; `seconds_left` returns how long the current SVID stays valid.
    """

    def __init__(
        self,
        address: str,
        backoff: Backoff,
        apply_update: Callable[[IdentityUpdate], bool],
        seconds_left: Callable[[], float],
        log_event: EventLogger,
    ) -> None:
        self.address = address
        self.backoff = backoff
        self.apply_update = apply_update
        self.seconds_left = seconds_left
        self.log_event = log_event
        self.connected = False  # the current stream has brought a valid update
        self.disconnects = 0

    async def follow(self) -> None:
        """Keeps a stream open until cancelled. Failed calls are logged and repeated with a back-off."""
        while True:
            try:
                await self._receive_updates()
                reason = "the stream ended"
            except grpc.aio.AioRpcError as error:
                reason = f"{error.code().name}: {(error.details() or '')[:120]}"
            except InvalidIdentity as error:
                reason = f"message refused: {error}"
            except Exception as error:  # an error within gRPC must not end the task; the SVID stays in use
                reason = f"{type(error).__name__}: {error}"[:160]
            self.connected = False
            self.disconnects += 1
            delay = self.backoff.next_delay(self.seconds_left())
            # During a long outage only every 16th failure is logged.
            if self.backoff.failures <= 3 or self.backoff.failures % 16 == 0:
                self.log_event("agent", why=reason, again_in=round(delay, 1), failures=self.backoff.failures)
            await asyncio.sleep(delay)

    async def _receive_updates(self) -> None:
        options: Iterable[tuple[str, Any]] = (
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.enable_http_proxy", 0),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
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
