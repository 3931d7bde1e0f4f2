"""Records in files: Arrow streams, a batch a second. One that ends torn is read up to where it is whole."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.compute as pc
import pyarrow.parquet as pq

from onyxpulley.incident.records import FORMAT, VERSION, Kind, Origin, Record

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


class Unreadable(Exception):
    """A file of no use: which, where, why."""

    def __init__(self, path: Path, offset: int, why: str) -> None:
        super().__init__(f"{path.name}: at byte {offset}: {why}")
        self.path, self.offset, self.why = path, offset, why


def schema_of(origin: Origin, part: int, zone: str) -> pa.Schema:
    told = {
        "format": FORMAT,
        "version": VERSION,
        "router": origin.router,
        "epoch": origin.epoch,
        "part": part,
    }
    return COLUMNS.with_metadata({"onyxpulley": json.dumps({**told, "zone": zone})})


def batch_of(rows: Sequence[Record]) -> pa.RecordBatch:
    columns = [
        pa.array([getattr(row, field.name) for row in rows], field.type)
        for field in COLUMNS
    ]  # fmt: skip
    return pa.RecordBatch.from_arrays(columns, schema=COLUMNS)


@dataclass(slots=True)
class Diary:
    """What one file holds, in the order of its numbers."""

    path: Path
    origin: Origin
    part: int
    zone: str
    table: pa.Table
    torn_at: int  # byte at which it ends within a batch, -1: it is whole

    def records(self, kinds: frozenset[Kind] | None = None) -> Iterator[Record]:
        """All, or those of some kinds, which are picked out before they are made."""
        table = self.table
        if kinds is not None:
            table = table.filter(pc.is_in(table.column("kind"), pa.array(sorted(kinds))))
        for batch in table.to_batches(max_chunksize=4096):
            columns = [batch.column(no).to_pylist() for no in range(batch.num_columns)]
            for seq, at, kind, server, cls, cause, count, value, detail in zip(*columns, strict=True):
                yield Record(seq, at, Kind(kind), server, cls, cause, count, value, detail)


def read(path: Path) -> Diary:
    """Raises Unreadable on what is no file of records of this version."""
    try:
        source = pa.OSFile(str(path))
    except OSError as problem:
        raise Unreadable(path, 0, str(problem.strerror or problem)) from problem
    with source:
        try:
            stream = pa.ipc.open_stream(source)
            told = json.loads((stream.schema.metadata or {})[b"onyxpulley"])
            version, name = told["version"], str(told["format"])
        except (pa.ArrowException, OSError, KeyError, ValueError, TypeError) as problem:
            raise Unreadable(path, 0, f"no records: {str(problem)[:120]}") from problem
        if name != FORMAT or version != VERSION:
            raise Unreadable(path, 0, f"version {version} of {name!r}; this reads {VERSION} of {FORMAT!r}")
        if stream.schema.remove_metadata() != COLUMNS:
            raise Unreadable(path, 0, "other columns than its version has")
        batches, torn = list[pa.RecordBatch](), -1
        at = source.tell()
        while True:
            try:
                batch = stream.read_next_batch()
                batch.validate(full=True)
                _known(batch)
            except StopIteration:
                break
            except (pa.ArrowException, OSError, ValueError) as problem:
                torn = at
                del problem
                break
            batches.append(batch)
            at = source.tell()
    table = pa.Table.from_batches(batches, COLUMNS).sort_by("seq") if batches else COLUMNS.empty_table()
    origin = Origin(str(told["router"]), int(told["epoch"]))
    return Diary(path, origin, int(told["part"]), str(told.get("zone", "")), table, torn)


def _known(batch: pa.RecordBatch) -> None:
    kinds = set(pc.unique(batch.column("kind")).to_pylist())
    unknown = kinds - set(Kind)
    if unknown:
        raise ValueError(f"unknown kind {sorted(unknown)[0]!r}")


def find(paths: Iterable[Path]) -> list[Path]:
    """Files as they are named, and those of records in the folders that are."""
    found: list[Path] = []
    for path in paths:
        found += sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    return list(dict.fromkeys(found))


def write_parquet(path: Path, rows: Iterable[tuple[str, int, int, Record]]) -> int:
    """Merged records, a row each: router, epoch, the time on the common clock, and the record."""
    schema = pa.schema([("router", pa.utf8()), ("epoch", pa.int64()), ("time", pa.int64()), *COLUMNS])
    count, held = 0, list[dict[str, Any]]()
    with pq.ParquetWriter(path, schema, compression="zstd") as writer:

        def flush() -> None:
            writer.write_table(pa.Table.from_pylist(held, schema))
            held.clear()

        for router, epoch, time, record in rows:
            row = {name: getattr(record, name) for name in COLUMNS.names}
            held.append({"router": router, "epoch": epoch, "time": time, **row})
            count += 1
            if len(held) >= 50_000:
                flush()
        flush()
    return count
