"""Merging and checking of configuration files, and ConfigState."""

import copy
import hashlib
from pathlib import Path

import msgspec
import pytest
import yaml
from hypothesis import given, settings, strategies as st

from lavenderfold.config import (
    ConfigState,
    FleetConfig,
    describe_changes,
    find_warnings,
    merge_files,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
HYPOTHESIS_SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)
KEY_HASH = hashlib.sha256(b"regina.key").hexdigest()
TREE = {
    "failure_domains": {"east": {"region": "sk"}, "west": {"region": "mb"}},
    "request_classes": {"quick": {"priority": 0, "wait_s": 2}},
    "routes": {
        "ask": {
            "kind": "model",
            "request_class": "quick",
            "model": "m",
            "max_tokens": 9,
        },
        "sign": {"kind": "app", "request_class": "quick", "service": "s"},
    },
    "targets": {
        "m1": {
            "kind": "model",
            "agent": "127.0.0.1:1",
            "vm": "v1",
            "failure_domain": "east",
            "models": ["m"],
        },
        "a1": {
            "kind": "app",
            "agent": "127.0.0.1:2",
            "vm": "v2",
            "failure_domain": "west",
            "service": "s",
        },
    },
    "organisations": {
        "regina": {
            "keys": {"k": {"sha256": KEY_HASH, "budget": "main"}},
            "budgets": {"main": {"prepaid": {"p1": 100}}},
        }
    },
}
ITEMS = [(section, name) for section in TREE for name in TREE[section]]


def dump(tree: dict) -> str:
    return yaml.safe_dump(tree, sort_keys=False)


def changed_tree(path: str, value: object) -> dict:
    """Return TREE with the value at a dotted path changed."""
    tree = copy.deepcopy(TREE)
    *parents, last = path.split(".")
    parent = tree
    for key in parents:
        parent = parent.setdefault(key, {})
    parent[last] = value
    return tree


def nested_tree(path: str, value: object) -> dict:
    """Return a tree that holds only the value at a dotted path."""
    for key in reversed(path.split(".")):
        value = {key: value}
    return value


MERGED_TREE = merge_files({"a.yaml": dump(TREE)}).unwrap()


@HYPOTHESIS_SETTINGS
@given(
    st.lists(st.integers(0, 3), min_size=len(ITEMS), max_size=len(ITEMS)), st.randoms()
)
def test_result_does_not_depend_on_how_items_are_spread_over_files(
    file_indexes, random
):
    """Routers would differ if the order of files in a folder or store mattered."""
    trees: list[dict] = [{} for _ in range(4)]
    for (section, name), file_index in zip(ITEMS, file_indexes, strict=True):
        trees[file_index].setdefault(section, {})[name] = TREE[section][name]
    files = [(f"{index}.yaml", dump(tree)) for index, tree in enumerate(trees)]
    random.shuffle(files)
    assert merge_files(dict(files)).unwrap() == MERGED_TREE


@HYPOTHESIS_SETTINGS
@given(
    st.sampled_from(
        [
            ("targets.m1.failure_domain", ["east", "west"]),
            ("targets.a1.agent", ["127.0.0.1:3", "[::1]:4"]),
            ("routes.ask.max_tokens", [1, 20]),
            ("request_classes.quick.run_s", [1.5, 7]),
            ("organisations.regina.budgets.main.grant_share", [0.5, 1]),
            ("organisations.regina.weight", [2, 0.25]),
        ]
    ),
    st.permutations([0, 1]),
)
def test_later_file_overrides_a_single_value(override, order):
    path, values = override
    first, last = values[order[0]], values[order[1]]
    files = {
        "30.yaml": dump(nested_tree(path, last)),
        "10.yaml": dump(TREE),
        "20.yaml": dump(nested_tree(path, first)),
    }
    expected = merge_files({"a.yaml": dump(changed_tree(path, last))}).unwrap()
    assert merge_files(files).unwrap() == expected


def test_top_up_raises_the_limit_of_a_budget():
    top_up = dump(nested_tree("organisations.regina.budgets.main.prepaid.p2", 50))
    config = merge_files({"1.yaml": dump(TREE), "2.yaml": top_up}).unwrap()
    assert config.organisations["regina"].budgets["main"].limit == 150


@pytest.mark.parametrize(
    "path",
    ["targets.m1", "routes.ask", "failure_domains.east", "organisations.regina.keys.k"],
)
def test_second_definition_of_an_item_is_an_error(path):
    """Two operators who choose the same name must not replace each other's item."""
    value = TREE
    for key in path.split("."):
        value = value[key]
    files = {"1.yaml": dump(TREE), "2.yaml": dump(nested_tree(path, value))}
    (error,) = merge_files(files).unwrap_err()
    assert (error.name, error.key) == ("2.yaml", path)
    assert "already defined in 1.yaml" in error.expected


@pytest.mark.parametrize(
    ("path", "value", "key", "expected"),
    [
        ("routes.ask.request_class", "none", "", "one of quick"),
        ("routes.ask.model", "other", "", "a target that has 'other'"),
        ("routes.ask.max_tokens", 0, "", "expected 1 to"),
        ("routes.ask.service", "s", "", "no service"),
        ("routes.sign.cost_tokens", -1, "", "expected 0 to"),
        ("routes.sign.service", "other", "", "a target that has 'other'"),
        ("routes.sign.model", "m", "routes.sign", "neither model"),
        ("routes.sign.methods", ["get"], "", "in capitals"),
        ("routes.ask.organisations", ["x"], "", "one of regina"),
        ("routes.ask.color", 1, "", "unknown key; expected one of kind"),
        ("targets.m1.failure_domain", "north", "", "one of east, west"),
        ("targets.m1.kind", "modle", "", "one of model, app"),
        ("targets.m1.agent", "localhost", "", "expected IP:PORT"),
        ("targets.m1.agent", 7, "", "expected IP:PORT"),
        ("targets.m1.agent", "127.0.0.1:2", "targets.a1.agent", "m1's"),
        ("targets.m1.models", [1], "targets.m1.models[0]", "`str`"),
        ("targets.m2", {"kind": "app"}, "targets.m2", "the field agent"),
        ("targets", [], "targets", "expected a mapping, got list"),
        ("organisations.regina.keys.k.budget", "x", "", "one of main"),
        ("organisations.regina.keys.k.sha256", "ABC", "", "hexadecimal"),
        ("organisations.regina.keys.l", {"sha256": KEY_HASH, "budget": "main"},
         "organisations.regina.keys.l.sha256", "other than k's"),
        ("organisations.regina.budgets.main.prepaid.p1", 0, "", "expected 1 to"),
        ("organisations.regina.budgets.main.prepaid.p1", 2**70, "", "expected 1 to"),
        ("organisations.regina.budgets.main.prepaid.p1", "5", "", "`int`"),
        ("organisations.regina.budgets.main.grant_share", 1.5, "", "share above 0"),
        ("organisations.regina.budgets.main.ride_out_s", 0, "", "above 0"),
        ("organisations.regina.weight", float("nan"), "", "above 0"),
        ("request_classes.quick.wait_s", -1, "", "above 0"),
    ],
)  # fmt: skip
def test_error_names_file_key_and_expectation(path, value, key, expected):
    """A reference or range that isn't checked here would fail in a running router."""
    files = {"1.yaml": dump(changed_tree(path, value))}
    errors = merge_files(files).unwrap_err()
    found = [error for error in errors if error.key == (key or path)]
    assert found
    assert found[0].name == "1.yaml"
    assert expected in found[0].expected


def test_reference_error_names_the_file_that_set_the_value():
    override = dump(nested_tree("targets.m1.failure_domain", "north"))
    errors = merge_files({"1.yaml": dump(TREE), "2.yaml": override}).unwrap_err()
    assert [error.name for error in errors] == ["2.yaml"]


def test_dot_in_an_organisation_is_an_error():
    """An API key is ORGANISATION.SECRET, so the name would be cut at its dot."""
    (error,) = merge_files({"1.yaml": "organisations: {re.gina: {}}"}).unwrap_err()
    assert error.key == "organisations.re.gina"


def test_payment_named_in_two_files_is_an_error():
    """The second amount would replace the first, and prepaid tokens would be lost."""
    top_up = dump(nested_tree("organisations.regina.budgets.main.prepaid.p1", 50))
    (error,) = merge_files({"1.yaml": dump(TREE), "2.yaml": top_up}).unwrap_err()
    assert "already defined in 1.yaml" in str(error)


@HYPOTHESIS_SETTINGS
@given(
    st.text()
    | st.text(alphabet="{}[]:,-&*!<>|?%@ \n'\"\\#0ax.~=")
    | st.sampled_from(["a: 2026-13-45", "!!map [1]", "- &a [*a]", "? [1]", "<<: 1"])
)
def test_merge_raises_no_exception_for_any_text(text):
    """An exception would end the watcher, which would miss the next revision."""
    merged = merge_files({"1.yaml": dump(TREE), "2.yaml": text})
    assert merged.is_ok() or all(e.name == "2.yaml" for e in merged.unwrap_err())


@pytest.mark.parametrize("text", ["[" * 20_000, "{a: " * 20_000 + "}" * 20_000])
def test_deep_nesting_is_an_error(text):
    """A file that exhausts the parser's stack must not end the process."""
    (error,) = merge_files({"1.yaml": text}).unwrap_err()
    assert error.name == "1.yaml"
    assert "RecursionError" in error.expected or "nesting" in error.expected


@pytest.mark.parametrize("name", ["x.yml", ".x.yaml", "a/b.yaml", ""])
def test_bad_file_name_is_an_error(name):
    assert merge_files({name: ""}).unwrap_err()[0].name == name


def test_probable_mistakes_are_warnings():
    """A top-up of a misspelt organisation makes a budget that no key can spend."""
    top_up = dump(nested_tree("organisations.regnia.budgets.main.prepaid.p2", 50))
    config = merge_files({"1.yaml": dump(TREE), "2.yaml": top_up}).unwrap()
    assert find_warnings(config) == [
        "organisations.regnia: has no key, so it can't call"
    ]
    assert find_warnings(MERGED_TREE) == []
    assert "+ organisations.regnia" in describe_changes(MERGED_TREE, config)


@pytest.mark.parametrize("name", ["prairie-dark-sky", "derwent-arcade"])
def test_examples_merge_and_contain_the_documented_keys(name):
    paths = sorted((EXAMPLES / name).glob("*.yaml"))
    config = merge_files({path.name: path.read_text() for path in paths}).unwrap()
    assert find_warnings(config) == []
    assert len(config.organisations) == 10
    for organisation, item in config.organisations.items():
        text = f"{organisation}.example-key".encode()
        assert item.keys["example"].sha256 == hashlib.sha256(text).hexdigest()
    kinds = [target.kind for target in config.targets.values()]
    assert (kinds.count("model"), kinds.count("app")) == (9, 3)


def domain_files(revision: int) -> dict[str, str]:
    return {"1.yaml": f"failure_domains: {{r{revision}: {{region: x}}}}"}


@HYPOTHESIS_SETTINGS
@given(st.lists(st.tuples(st.integers(0, 9), st.booleans())))
def test_install_never_lowers_the_revision(attempts):
    """A late snapshot from a slow peer must not revert the configuration."""
    state = ConfigState()
    for revision, valid in attempts:
        state_before = msgspec.to_builtins(state.config), state.revision
        files = domain_files(revision) if valid else {"1.yaml": "nonsense: 1"}
        installed = state.install(revision, files)
        assert installed == (valid and revision > state_before[1])
        if not installed:
            assert (msgspec.to_builtins(state.config), state.revision) == state_before
        else:
            assert list(state.config.failure_domains) == [f"r{revision}"]


def test_new_state_has_an_empty_configuration():
    assert ConfigState().config == FleetConfig()
