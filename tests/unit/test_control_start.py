"""A control process that cannot start exits, even if it has opened ports before."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

HOST = f"127.{20 + os.getpid() % 200}.251.1"
HTTP_PORT = 7101
RPC_PORT = 7102


def settings_file(folder: Path) -> Path:
    for name in ("cluster-key", "operator-token"):
        (folder / name).write_text("a secret of the tests, long enough for a key")
        (folder / name).chmod(0o600)
    path = folder / "control.yaml"
    path.write_text(
        f"""
name: control-1
region: coast
zone: kariakoo
listen: {{host: {HOST}, http_port: {HTTP_PORT}, rpc_port: {RPC_PORT}}}
cluster_key_file: {folder}/cluster-key
data_folder: {folder}/data
peers: [{{name: control-1, rpc_address: "{HOST}:{RPC_PORT}", zone: kariakoo}}]
operator_token_file: {folder}/operator-token
machine_list_url: http://{HOST}:7301/machines
"""
    )
    return path


def test_a_taken_port_ends_the_process(tmp_path: Path) -> None:
    """Guards against a process that logs a failed start but keeps serving its RPC port."""
    with socket.create_server((HOST, HTTP_PORT)):
        command = ["-m", "leverjunction.cli", "control", "--config", str(settings_file(tmp_path))]
        process = subprocess.Popen(
            [sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
        try:
            output = process.communicate(timeout=20)[0]
        except subprocess.TimeoutExpired:
            process.kill()
            pytest.fail(f"the process did not exit: {process.communicate()[0]}")
    assert process.returncode == 1
    assert "cannot start" in output
