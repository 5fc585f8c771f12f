"""Test what is tried before a host starts."""

import socket

import pytest
import trustme

from agatetack import listeners
from agatetack.settings.loader import check_settings_text
from agatetack.settings.start_checks import find_start_misfits

FREE = (
    "callers:\n  listen: {port: 0}\noperators:\n  listen: {port: 0}\n"
    "peers:\n  listen: {port: 0}\n"
)


@pytest.fixture(autouse=True)
def no_held_listeners():
    yield
    listeners.release_others([])


def check(text):
    checked = check_settings_text(text, "f", find_start_misfits)
    return [str(finding) for finding in checked.findings]


@pytest.fixture
def taken():
    """Give a port that is listened on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener.getsockname()[1]


@pytest.mark.parametrize(
    ("old", "new", "lines"),
    [
        ("", "", []),
        (
            "callers:\n  listen: {port: 0}",
            "callers:\n  listen: {ip: 192.0.2.1, port: 0}",
            [
                "f:2:11: callers.listen: cannot listen on 192.0.2.1 port 0:"
                " Cannot assign requested address"
            ],
        ),
        (
            "peers:\n  listen: {port: 0}",
            "peers:\n  listen: {port: @}",
            [
                "f:6:11: peers.listen: cannot listen on 127.0.0.1 port @:"
                " Address already in use"
            ],
        ),
        (
            "operators:\n",
            "operators:\n  tls: {certificate: /none, key: /none}\n",
            [
                "f:4:8: operators.tls: /none and /none cannot be loaded:"
                " No such file or directory"
            ],
        ),
        (
            "callers:\n  listen: {port: 0}",
            "callers:\n  listen: {port: x}",
            ["f:2:18: callers.listen.port: must be a whole number"],
        ),
    ],
)
def test_what_would_fail_at_the_start_is_found(old, new, lines, taken):
    text = FREE.replace(old, new, 1).replace("@", str(taken))
    assert check(text) == [line.replace("@", str(taken)) for line in lines]


ON_STORE = (
    "platform: {store: {endpoint: 127.0.0.1:9}}\n"
    "callers: {listen: 127.0.0.1:0}\n"
    "peers: {listen: 127.0.0.1:0}\n"
)


# Guards against hosts that end for an address that they don't listen on.
@pytest.mark.parametrize(
    ("added", "lines"),
    [
        ("operators: {listen: 127.0.0.1:@}", []),
        (
            "status: {ready_listen: 127.0.0.1:@}",
            [
                "f:4:24: status.ready_listen: cannot listen on 127.0.0.1"
                " port @: Address already in use"
            ],
        ),
    ],
)
def test_a_host_on_a_store_needs_the_addresses_it_serves(added, lines, taken):
    found = check(ON_STORE + added.replace("@", str(taken)))
    assert found == [line.replace("@", str(taken)) for line in lines]


def test_two_addresses_of_a_host_on_a_store_are_not_the_same():
    added = "status: {ready_listen: 127.0.0.1:7, metrics_listen: 127.0.0.1:7}"
    checked = check_settings_text(ON_STORE + added, "f")
    assert [str(finding) for finding in checked.findings] == [
        "f:4:53: status.metrics_listen.port:"
        " status.ready_listen has this port too"
    ]


# Guards against a documented value that ends the host as a finding.
def test_a_host_may_be_told_not_to_wait_for_addresses():
    text = FREE + "lifecycle: {address_wait_seconds: 0}"
    assert check(text) == []


def test_all_that_would_fail_is_found_at_once(taken):
    text = FREE.replace("port: 0", f"port: {taken}")
    text += "claims: {max_bach: 1}\nadmission: {min_target_limit: 9}"
    kinds = [line.split(": ")[1] for line in check(text)]
    assert {"callers.listen", "operators.listen", "peers.listen"} <= {*kinds}
    assert {"claims.max_bach", "admission.min_target_limit"} <= {*kinds}


def test_a_port_left_a_moment_ago_can_be_taken():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address) as caller:
            # The side that closes first keeps the port for a while.
            listener.accept()[0].close()
            assert caller.recv(1) == b""
    assert check(FREE.replace("port: 0", f"port: {address[1]}", 1)) == []


def test_fitting_files_are_no_finding(tmp_path):
    issued = trustme.CA().issue_cert("127.0.0.1")
    paths = [str(tmp_path / name) for name in ("certificate", "key")]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    tls = f"callers:\n  tls: {{certificate: {paths[0]}, key: {paths[1]}}}\n"
    assert check(FREE.replace("callers:\n", tls)) == []
