"""The ids of jobs are shared between the processes of an upgrade, also where writes and reads fail."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from onyxpulley import job_log
from onyxpulley.job_log import RECORD, RING_RECORDS, JobLog, folder_of
from onyxpulley.recent_jobs import RecentJobs

ROOT = Path(__file__).parents[1]


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(job_log, "FOLDER_CHECK_INTERVAL_S", 0.0)
    monkeypatch.setattr(job_log, "RETRY_INTERVAL_S", 0.0)


@pytest.fixture
def logs(tmp_path: Path) -> Iterator[tuple[JobLog, JobLog]]:
    """The logs of two processes of one router."""
    first, second = JobLog(tmp_path / "jobs"), JobLog(tmp_path / "jobs")
    second.path = second.path.with_name("2-2.jobs")
    yield first, second
    for log in (first, second):
        log.close()


# Guards against a job that runs twice, as its id comes again at the other process of an upgrade.
def test_ids_are_seen_by_the_other_process_in_both_directions(logs: tuple[JobLog, JobLog]) -> None:
    first, second = logs
    assert first.read_others() == []
    first.add(7)
    assert second.read_others() == [7]
    first.add(8)
    second.add(9)
    assert second.read_others() == [8] and first.read_others() == [9]
    assert second.read_others() == [] and first.read_others() == []


def test_a_ring_that_was_overwritten_is_read_on_from_what_is_left(logs: tuple[JobLog, JobLog]) -> None:
    first, second = logs
    first.add(1)
    assert second.read_others() == [1]
    for number in range(2, 2 * RING_RECORDS + 100):
        first.add(number)
    newest = 2 * RING_RECORDS + 99
    assert second.read_others() == list(range(newest - RING_RECORDS + 1, newest + 1))
    first.add(5)
    assert second.read_others() == [5]


# Guards against old ids that fail new jobs: a process that has ended shares nothing, and its file goes.
def test_the_file_of_a_process_that_was_killed_is_ignored_and_removed(tmp_path: Path) -> None:
    folder = tmp_path / "jobs"
    code = (
        "import sys, time, pathlib; from onyxpulley.job_log import JobLog;"
        "log = JobLog(pathlib.Path(sys.argv[1])); log.add(7); print('added', flush=True); time.sleep(60)"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code, str(folder)], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    with process.stdout:
        assert process.stdout.readline() == "added\n"
        late = JobLog(folder)
        late.path = late.path.with_name("2-2.jobs")
        assert late.read_others() == [7], "it runs"
        process.send_signal(signal.SIGKILL)
        process.wait()
    assert late.read_others() == [] and not list(folder.iterdir())
    assert JobLog(folder).read_others() == []


def failing(error: int, times: int = 10**9) -> object:
    """Stands for a system call that fails so many times."""
    left = [times]

    def call(*arguments: object, **more: object) -> object:
        left[0] -= 1
        if left[0] < 0:
            raise AssertionError("called once more")
        raise OSError(error, os.strerror(error))

    return call


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EMFILE, errno.ENFILE])
@pytest.mark.parametrize("call", ["mkdir", "open", "posix_fallocate", "rename", "pwrite"])
def test_what_cannot_be_written_now_is_written_later(
    call: str, error: int, logs: tuple[JobLog, JobLog], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = logs
    if call == "mkdir":
        monkeypatch.setattr(Path, call, failing(error))
    else:
        monkeypatch.setattr(os, call, failing(error))
    first.add(7)
    first.add(8)
    assert second.read_others() == []
    monkeypatch.undo()
    monkeypatch.setattr(job_log, "FOLDER_CHECK_INTERVAL_S", 0.0)
    first.next_try = second.next_check = 0.0
    first.add(9)
    assert second.read_others() == [7, 8, 9]


# Guards against half a record, as a short write or a kill leaves it.
def test_half_a_record_is_no_id_until_it_is_whole(
    logs: tuple[JobLog, JobLog], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = logs
    first.add(7)
    pwrite = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda descriptor, data, offset: pwrite(descriptor, data[:4], offset))
    first.add(8)
    monkeypatch.undo()
    assert second.read_others()[:1] == [7]
    first.add(9)
    assert first.sequence == 3 and not first.unwritten
    assert os.pread(first.descriptor, 3 * RECORD.size, 0) == b"".join(
        RECORD.pack(sequence, number) for sequence, number in ((1, 7), (2, 8), (3, 9))
    )


def test_reads_that_fail_lose_nothing(logs: tuple[JobLog, JobLog], monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = logs
    first.add(7)
    for call in ("listdir", "pread"):
        monkeypatch.setattr(os, call, failing(errno.EIO))
        assert second.read_others() == []
        monkeypatch.undo()
        second.next_check = 0.0
    assert second.read_others() == [7]


def test_a_folder_of_another_user_is_not_used(tmp_path: Path) -> None:
    (tmp_path / "elsewhere").mkdir()
    (tmp_path / "jobs").symlink_to(tmp_path / "elsewhere")
    log = JobLog(tmp_path / "jobs")
    log.add(7)
    assert log.unwritten and not list((tmp_path / "elsewhere").iterdir())


def test_recent_jobs_are_those_of_all_processes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    folder = folder_of("n0", ("127.0.0.1", 4100))
    assert folder != folder_of("n1", ("127.0.0.1", 4100)) != folder_of("n0", ("127.0.0.1", 4101))
    old, new = RecentJobs(), RecentJobs()
    old.share(folder)
    old.add("00000000000000aa")
    time.sleep(0.001)  # the file names differ by the time of their making
    new.share(folder)
    assert "00000000000000aa" in new and "00000000000000ab" not in new
    new.add("00000000000000ab")
    assert "00000000000000ab" in old
    old.close()
    new.close()
    assert not folder.exists()
