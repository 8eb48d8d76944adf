"""Error responses of targets that are kept while another target is tried."""

import pytest

from tests.direct_support import answer_successfully, fail, reject, run_scenario


def fail_once_then(other):
    """Return a script for two targets: the first one asked answers 500."""

    async def script(request, writer):
        if script.begun:
            await other(request, writer)
            return
        script.begun = True
        await fail(request, writer)

    script.begun = False
    return script


async def break_off(request, writer):
    raise RuntimeError("the target closes the connection before an answer")


@pytest.mark.parametrize("other", [reject, break_off])
def test_error_response_is_relayed_if_the_next_target_gives_no_answer(other):
    """Guards against a failure of the router's own in place of a target's answer."""

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x")
        assert (answer.status, answer.body) == (500, b"failed")

    script = fail_once_then(other)
    run_scenario(scenario, script, script)


def test_error_response_is_not_relayed_if_the_next_target_answers():
    """Guards against an error response although the request was answered."""

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x")
        assert (answer.status, answer.body) == (200, b"done")

    script = fail_once_then(answer_successfully)
    run_scenario(scenario, script, script)
