"""TLS on all interfaces, and validation of the TLS settings by ``--check``."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest
from lib.certificates import Authority

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.settings import Tls
from siskinlever._internal.network.tls import client_context, peer_client_context
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.peers.link import PeerLink
from siskinlever_testbed.fleet import OPERATOR_KEY, PEER_KEY, caller_key, running_fleet
from siskinlever_testbed.plans import ATELIER_ZONES, FleetPlan


def plan(authority):
    hosts = [f"host-{number}" for number in (1, 2, 3)]
    return FleetPlan(
        hosts=3,
        zones=ATELIER_ZONES,
        engines=(),
        settings_by_host={host: {"tls": authority.issue(host)} for host in hosts},
    )


@pytest.mark.system
async def test_interfaces_use_tls_and_peers_verify_certificates(tmp_path):
    authority = Authority(tmp_path / "own")
    other_authority = Authority(tmp_path / "other")
    async with running_fleet(plan(authority), tmp_path / "fleet") as fleet:
        path = str(fleet.write_declaration())
        trusted = f"--tls-authority={authority.path}"
        code, output = await fleet.command("apply", path, trusted)
        assert (code, output.count("in force")) == (0, 3), output
        plain, _ = await fleet.command("status")
        wrong, _ = await fleet.command(
            "status", f"--tls-authority={other_authority.path}"
        )
        assert (plain, wrong) == (5, 5)
        url = f"https://{fleet.endpoints_by_host['host-1'].callers}/v1/hosts"
        async with fleet.session.get(
            url, ssl=client_context(authority.path)
        ) as response:
            assert len((await response.json())["hosts"]) == 3
        peers = fleet.endpoints_by_host["host-1"].peers
        for issuer, allowed in ((authority, True), (other_authority, False)):
            files = issuer.issue("peer") | {"authority": authority.path}
            context = peer_client_context(Tls(**files))
            link = PeerLink(peers, PEER_KEY, context, Metrics())
            message = peer_pb2.ConfigurationRequest(above_generation=99)
            try:
                await link.call("FetchConfiguration", message)
                assert allowed
            except PeerError:
                assert not allowed
            finally:
                link.close()
        place = fleet.endpoints_by_host["host-2"]
        tls_options = {"ssl": client_context(authority.path)}
        fleet.process_by_name["host-2"].leave()
        completion_request = {
            "json": {"model": "none", "prompt": "Which stock?"},
            "headers": {"Authorization": f"Bearer {caller_key('atelier')}"},
        }
        forwarded = "siskinlever_requests_forwarded_total 1"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with asyncio.timeout(5):
            text = ""
            while forwarded not in text:
                url = f"https://{place.callers}/v1/completions"
                async with fleet.session.post(
                    url, **completion_request, **tls_options
                ) as response:
                    assert response.status == 404  # No such model.
                url = f"https://{place.operators}/metrics"
                async with fleet.session.get(
                    url, headers=headers, **tls_options
                ) as response:
                    text = await response.text()


async def test_check_reports_faults_of_tls_files(tmp_path):
    authority = Authority(tmp_path)
    files = authority.issue("host-1")
    other_key = authority.issue("host-2")["key"]
    settings = {
        "host": "host-1",
        "zone": "hall-a",
        "callers": {"address": "127.0.0.1:1"},
        "operators": {"address": "127.0.0.1:2", "key_digests": ["sha256:" + "0" * 64]},
        "peers": {"address": "127.0.0.1:3", "key": "k" * 16},
        "platform": {
            "key_value": "http://10.0.0.1:1",
            "host_list": "http://10.0.0.1:2",
        },
    }
    path = tmp_path / "settings.json"
    module = "siskinlever._internal.cli.daemon"
    for tls, code, expected_text in (
        (files, 0, "valid"),
        (files | {"key": "/nowhere"}, 3, "$.tls.key: found '/nowhere', which cannot"),
        (files | {"key": other_key}, 3, "$.tls.key: found"),
        (files | {"authority": str(path)}, 3, "$.tls.authority: found"),
        ({"certificate": "x"}, 3, "$.tls.key: required field is missing"),
    ):
        path.write_text(json.dumps(settings | {"tls": tls}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", module, f"--settings={path}", "--check"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        assert (process.returncode, expected_text in output.decode()) == (code, True), (
            output
        )
