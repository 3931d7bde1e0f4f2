"""Files of records: Arrow streams, one batch a second. Truncated files are read up to the last full batch."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.compute as pc
import pyarrow.parquet as pq

from onyxpulley.incident.records import FORMAT, VERSION, Kind, Record, RunId

SUFFIX = ".arrows"
NAMES = pa.dictionary(pa.int32(), pa.utf8())
COLUMNS = pa.schema(
    [
        ("seq", pa.uint64()),
        ("at", pa.int64()),
        ("kind", pa.utf8()),
        ("server", pa.utf8()),
        ("cls", pa.utf8()),
        ("cause", pa.utf8()),
        ("count", pa.uint32()),
        ("value", pa.float64()),
        ("detail", pa.utf8()),
    ]
)


class UnreadableFile(Exception):
    """A file that cannot be used: its path, the byte offset of the problem, and the reason."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        super().__init__(f"{path.name}: at byte {offset}: {reason}")
        self.path, self.offset, self.reason = path, offset, reason


def file_schema(run_id: RunId, part: int, zone: str) -> pa.Schema:
    """The columns of a file, with the metadata that identify its run and its part of it."""
    metadata = {
        "format": FORMAT,
        "version": VERSION,
        "router": run_id.router,
        "epoch": run_id.epoch,
        "part": part,
    }
    return COLUMNS.with_metadata({"onyxpulley": json.dumps({**metadata, "zone": zone})})


def record_batch(records: Sequence[Record]) -> pa.RecordBatch:
    """The records as one Arrow batch."""
    columns = [
        pa.array([getattr(record, field.name) for record in records], field.type)
        for field in COLUMNS
    ]  # fmt: skip
    return pa.RecordBatch.from_arrays(columns, schema=COLUMNS)


@dataclass(slots=True)
class RecordFile:
    """The contents of one file, sorted by sequence number."""

    path: Path
    run_id: RunId
    part: int
    zone: str
    table: pa.Table
    truncated_at: int  # byte offset of the first batch that cannot be read; -1 if the file is complete

    def records(self, kinds: frozenset[Kind] | None = None) -> Iterator[Record]:
        """All records, or those of some kinds; others are filtered out before objects are made of them."""
        table = self.table
        if kinds is not None:
            table = table.filter(pc.is_in(table.column("kind"), pa.array(sorted(kinds))))
        for batch in table.to_batches(max_chunksize=4096):
            columns = [batch.column(index).to_pylist() for index in range(batch.num_columns)]
            for seq, at, kind, server, cls, cause, count, value, detail in zip(*columns, strict=True):
                yield Record(seq, at, Kind(kind), server, cls, cause, count, value, detail)


def read_file(path: Path) -> RecordFile:
    """Raises UnreadableFile if it is not a file of records of this version."""
    try:
        source = pa.OSFile(str(path))
    except OSError as error:
        raise UnreadableFile(path, 0, str(error.strerror or error)) from error
    with source:
        try:
            stream = pa.ipc.open_stream(source)
            metadata = json.loads((stream.schema.metadata or {})[b"onyxpulley"])
            version, name = metadata["version"], str(metadata["format"])
        except (pa.ArrowException, OSError, KeyError, ValueError, TypeError) as error:
            raise UnreadableFile(path, 0, f"not a file of records: {str(error)[:120]}") from error
        if name != FORMAT or version != VERSION:
            raise UnreadableFile(
                path, 0, f"version {version} of {name!r}, but only {VERSION} of {FORMAT!r} can be read"
            )
        if stream.schema.remove_metadata() != COLUMNS:
            raise UnreadableFile(path, 0, "its columns are not those of its version")
        batches, truncated_at = list[pa.RecordBatch](), -1
        offset = source.tell()
        while True:
            try:
                batch = stream.read_next_batch()
                batch.validate(full=True)
                _check_kinds(batch)
            except StopIteration:
                break
            except (pa.ArrowException, OSError, ValueError) as error:
                truncated_at = offset
                del error
                break
            batches.append(batch)
            offset = source.tell()
    table = pa.Table.from_batches(batches, COLUMNS).sort_by("seq") if batches else COLUMNS.empty_table()
    run_id = RunId(str(metadata["router"]), int(metadata["epoch"]))
    return RecordFile(path, run_id, int(metadata["part"]), str(metadata.get("zone", "")), table, truncated_at)


def _check_kinds(batch: pa.RecordBatch) -> None:
    """Raises ValueError on an unknown kind of record."""
    kinds = set(pc.unique(batch.column("kind")).to_pylist())
    unknown = kinds - set(Kind)
    if unknown:
        raise ValueError(f"unknown kind {sorted(unknown)[0]!r}")


def find_files(paths: Iterable[Path]) -> list[Path]:
    """The files among the paths, and the files of records in the folders among them."""
    found: list[Path] = []
    for path in paths:
        found += sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    return list(dict.fromkeys(found))


def write_parquet(path: Path, rows: Iterable[tuple[str, int, int, Record]]) -> int:
    """Writes merged records and returns their number.

    A row holds the router, the epoch, the time on the common clock (Unix microseconds), and the record.
    """
    schema = pa.schema([("router", pa.utf8()), ("epoch", pa.int64()), ("time", pa.int64()), *COLUMNS])
    count, pending = 0, list[dict[str, Any]]()
    with pq.ParquetWriter(path, schema, compression="zstd") as writer:

        def flush() -> None:
            writer.write_table(pa.Table.from_pylist(pending, schema))
            pending.clear()

        for router, epoch, time, record in rows:
            row = {name: getattr(record, name) for name in COLUMNS.names}
            pending.append({"router": router, "epoch": epoch, "time": time, **row})
            count += 1
            if len(pending) >= 50_000:
                flush()
        flush()
    return count
