"""Operators that race for revisions while the store's responses get lost."""

import enum
import types

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok

from lavenderfold.config import (
    Applied,
    ApplyUncertainError,
    EditConflictError,
    Head,
    InvalidConfigError,
    Manifest,
    Revisions,
)
from lavenderfold.config._revisions import _content_hash, _decode, _decode_head
from lavenderfold.store import (
    AnswerLostError,
    ConflictError,
    StoreUnavailableError,
    Versioned,
)

OPERATORS = 3
NAMES = [f"{letter}.yaml" for letter in "abcdef"]
LAST_NAME = "last.yaml"
INVALID_TEXT = "nonsense: 1"


class Fault(enum.Enum):
    NONE = "the call is served"
    LOST = "served, but the response is lost"
    UNSERVED = "lost before it was served"
    LATE = "the caller gives up; a write is served later"
    DOWN = "refused"


@types.coroutine
def pause(write):
    """Hand control to the machine, which resumes the call with a fault.

    ``write`` is the key that the call writes, or an empty text.
    """
    return (yield write)


class SteppedStore:
    """The store in memory; each call waits for the machine."""

    def __init__(self):
        self.value_by_key: dict[str, Versioned] = {}
        self.late: list[tuple[str, bytes, int]] = []

    async def get(self, key):
        fault = await pause("")
        if fault is Fault.DOWN:
            return Err(StoreUnavailableError(key, "down"))
        if fault is not Fault.NONE:
            return Err(AnswerLostError(key, "lost"))
        return Ok(self.value_by_key.get(key))

    async def put(self, key, value, *, version):
        fault = await pause(key)
        if fault is Fault.DOWN:
            return Err(StoreUnavailableError(key, "down"))
        if fault is Fault.LATE:
            self.late.append((key, value, version))
        if fault in (Fault.LATE, Fault.UNSERVED):
            return Err(AnswerLostError(key, "lost"))
        written = self.write(key, value, version)
        return Err(AnswerLostError(key, "lost")) if fault is Fault.LOST else written

    def write(self, key, value, version):
        actual = self.value_by_key.get(key, Versioned(b"", 0)).version
        if actual != version:
            return Err(ConflictError(key, expected=version, actual=actual))
        self.value_by_key[key] = Versioned(value, version + 1)
        return Ok(version + 1)

    def head(self) -> Head:
        return _decode_head(self.value_by_key.get("config/head")).unwrap()

    def manifests(self) -> dict[int, Manifest]:
        """Return the stored manifests by revision, with an empty one at 0."""
        prefix = "config/manifest/"
        found = {0: Manifest()}
        for key, stored in self.value_by_key.items():
            if key.startswith(prefix):
                decoded = _decode(key, stored.value, Manifest).unwrap()
                found[int(key.removeprefix(prefix))] = decoded
        return found


class Attempt:
    """One apply of an operator, with what the machine knows of its result."""

    def __init__(self, store, token, base, edits):
        self.token = token
        self.base = base
        self.edits = edits
        self.may_be_applied = False
        self.result = None
        self.start(store)

    def start(self, store):
        self.result = None
        self.call = Revisions(store=store).apply(
            self.edits, base_revision=self.base, token=self.token
        )
        self.writes = self.call.send(None)

    def resume(self, fault) -> bool:
        """Serve the call that waits; return whether the apply ended."""
        try:
            self.writes = self.call.send(fault)
        except StopIteration as stop:
            self.result = stop.value
            return True
        return False


EDITS = st.dictionaries(
    st.sampled_from(NAMES), st.integers(0, 6), min_size=1, max_size=2
)
CHOICE = st.integers(0, 5)
FAULTS = st.lists(st.sampled_from([Fault.NONE, Fault.NONE, *Fault]), max_size=4)
WRITES = ["", "config/manifest", "config/head", "no such write"]


def edit_texts(token, kind_by_name):
    """Return texts that differ by apply, some removals and some bad texts."""
    text_by_name = {}
    for name, kind in kind_by_name.items():
        text_by_name[name] = f"# {token}"
        if kind == 0:
            text_by_name[name] = None
        if kind == 1 and len(kind_by_name) > 1:
            text_by_name[name] = INVALID_TEXT
    return text_by_name


class History:
    """A store, the applies made to it, and what must hold of them."""

    def __init__(self):
        self.store = SteppedStore()
        self.by_token: dict[str, Attempt] = {}
        self.seen: dict[int, Manifest] = {}
        self.head_revision = 0
        self.finish(self.begin({"a.yaml": 2, "b.yaml": 2}, 0))

    def begin(self, kind_by_name, base) -> Attempt:
        token = str(len(self.by_token))
        edits = edit_texts(token, kind_by_name)
        self.by_token[token] = Attempt(self.store, token, base, edits)
        return self.by_token[token]

    def resume(self, attempt, fault) -> bool:
        """Serve one call of an apply; check its result if that ended it."""
        ended = attempt.resume(fault)
        if ended:
            self.check_result(attempt)
        return ended

    def finish(self, attempt):
        for _ in range(500):
            if self.resume(attempt, Fault.NONE):
                return
        raise AssertionError("an apply without faults doesn't end")

    def check(self):
        self.check_accepted_stay()
        self.check_each_is_one_apply()

    def check_result(self, attempt):
        if attempt.result.is_ok():
            attempt.may_be_applied = True
            applied: Applied = attempt.result.unwrap()
            assert applied.revision <= self.store.head().revision
            manifest = self.store.manifests()[applied.revision]
            if applied.changed:
                assert manifest.token == attempt.token
            for name, text in attempt.edits.items():
                assert manifest.hash_by_name.get(name) == _content_hash(text)
            return
        error = attempt.result.unwrap_err()
        if isinstance(error, ApplyUncertainError):
            attempt.may_be_applied = True
        if isinstance(error, EditConflictError | InvalidConfigError):
            self.check_not_applied(attempt)

    def check_not_applied(self, attempt):
        tokens = [manifest.token for manifest in self.store.manifests().values()]
        assert attempt.token not in tokens

    def check_accepted_stay(self):
        head = self.store.head()
        assert head.revision >= self.head_revision
        self.head_revision = head.revision
        manifests = self.store.manifests()
        assert set(manifests) >= set(range(head.revision + 1))
        for revision, manifest in self.seen.items():
            assert manifests[revision] == manifest
        self.seen = manifests

    def check_each_is_one_apply(self):
        manifests = self.store.manifests()
        tokens = [manifests[revision].token for revision in sorted(manifests)]
        assert len(tokens) == len(set(tokens))
        for revision in range(1, max(manifests) + 1):
            self.check_revision(manifests, revision)

    def check_revision(self, manifests, revision):
        before = manifests[revision - 1].hash_by_name
        after = manifests[revision].hash_by_name
        attempt = self.by_token[manifests[revision].token]
        base = manifests[attempt.base].hash_by_name
        for name in [*NAMES, LAST_NAME]:
            if name not in attempt.edits:
                assert after.get(name) == before.get(name)
                continue
            wanted = _content_hash(attempt.edits[name])
            assert after.get(name) == wanted
            # A change that its operator hadn't seen was not overwritten.
            assert before.get(name) in (base.get(name), wanted)
        assert INVALID_TEXT not in attempt.edits.values()

    def end(self):
        """Every late write arrives, and the next operator is not blocked."""
        for write in self.store.late:
            self.store.write(*write)
        attempt = self.begin({LAST_NAME: 2}, self.store.head().revision)
        self.finish(attempt)
        assert attempt.result.is_ok()
        self.check()
        for known in self.by_token.values():
            failed = known.result is not None and known.result.is_err()
            if failed and not known.may_be_applied:
                self.check_not_applied(known)


class Race(RuleBasedStateMachine):
    """Applies interleave call by call; no accepted change may be lost."""

    def __init__(self):
        super().__init__()
        self.history = History()
        self.attempts: list[Attempt] = []

    def running(self):
        return [attempt for attempt in self.attempts if attempt.result is None]

    def ended(self):
        return [attempt for attempt in self.attempts if attempt.result is not None]

    @precondition(lambda self: len(self.running()) < OPERATORS)
    @rule(kinds=EDITS, age=st.sampled_from([0, 0, 0, 1, 2]))
    def start(self, kinds, age):
        """Start an apply from the current revision or a recent one."""
        base = max(0, self.history.store.head().revision - age)
        self.attempts.append(self.history.begin(kinds, base))

    @precondition(running)
    @rule(choice=CHOICE, key=st.sampled_from(WRITES), faults=FAULTS)
    def advance(self, choice, key, faults):
        """Serve an apply's calls until this kind of write waits, and this write
        and the calls after it with faults."""
        attempt = self.running()[choice % len(self.running())]
        for _ in range(40):
            if attempt.writes.startswith(key):
                break
            if self.history.resume(attempt, Fault.NONE):
                return
        for fault in faults:
            if self.history.resume(attempt, fault):
                return

    @precondition(running)
    @rule(choice=CHOICE)
    def crash(self, choice):
        """End an operator's process; nobody knows the result."""
        attempt = self.running()[choice % len(self.running())]
        attempt.call.close()
        self.attempts.remove(attempt)

    @precondition(ended)
    @rule(choice=CHOICE)
    def repeat(self, choice):
        """Repeat an apply with its token, as an operator does who isn't sure."""
        if len(self.running()) < OPERATORS:
            attempt = self.ended()[choice % len(self.ended())]
            attempt.start(self.history.store)

    @precondition(lambda self: self.history.store.late)
    @rule(choice=CHOICE)
    def serve_late_write(self, choice):
        late = self.history.store.late
        self.history.store.write(*late.pop(choice % len(late)))

    @invariant()
    def accepted_changes_stay(self):
        self.history.check()

    def teardown(self):
        self.history.end()


TestRace = Race.TestCase
TestRace.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)


def run_script(fault_by_call, *, rival_at=None) -> int:
    """Run one apply with faults at numbered calls, and a rival's two applies
    before one of them; return the number of its calls."""
    history = History()
    attempt = history.begin({"a.yaml": 2}, 1)
    for call in range(200):
        if call == rival_at:
            for name in ("b.yaml", "c.yaml"):
                history.finish(history.begin({name: 2}, history.store.head().revision))
        ended = history.resume(attempt, fault_by_call.get(call, Fault.NONE))
        history.check()
        if ended:
            history.end()
            return call + 1
    raise AssertionError("the apply doesn't end")


FAULTY = [fault for fault in Fault if fault is not Fault.NONE]


@pytest.mark.parametrize("first", FAULTY)
def test_any_two_faults_of_one_apply(first):
    """Chance reaches the narrowest of these cases too seldom."""
    calls = run_script({})
    for position in range(calls):
        for fault in FAULTY:
            for second in range(position + 1, calls + 4):
                run_script({position: first, second: fault})


@pytest.mark.parametrize("fault", Fault)
def test_rival_between_any_two_calls_of_an_apply(fault):
    """A paused operator must neither revert the rival nor get lost."""
    calls = run_script({})
    for rival_at in range(calls):
        for position in range(calls + 8):
            run_script({position: fault}, rival_at=rival_at)
