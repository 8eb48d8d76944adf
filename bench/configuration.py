"""Processor time to merge configuration files, by the number of budgets.

Run: python -m bench.configuration
"""

from bench.decisions import per_call_us, print_costs
from lavenderfold.config import merge_files

ORGANISATIONS = 20
SIZES = (200, 1000, 4000)


def make_files(budgets: int) -> dict[str, str]:
    """Return one file for each organisation; the budgets are spread evenly."""
    lines_by_organisation: dict[int, list[str]] = {
        number: [] for number in range(ORGANISATIONS)
    }
    for number in range(budgets):
        lines_by_organisation[number % ORGANISATIONS].append(
            f"      budget-{number}: {{prepaid: {{initial: {1000 + number}}}}}"
        )
    return {
        f"{number:03}-organisation.yaml": "\n".join(
            [f"organisations:\n  organisation-{number}:\n    budgets:", *lines]
        )
        for number, lines in lines_by_organisation.items()
    }


def merge_cost_us(budgets: int) -> float:
    files = make_files(budgets)
    return per_call_us(lambda _: merge_files(files), repeats=1)


def change_cost_us(budgets: int) -> float:
    """Return the cost of a merge in which only one of the files has changed."""
    files = make_files(budgets)
    merge_files(files)
    name = next(iter(files))
    changed = {**files, name: files[name] + "\n"}
    return per_call_us(lambda _: merge_files(changed), repeats=1)


def main() -> None:
    print_costs("first merge of all files", "budget", SIZES, merge_cost_us)
    print_costs("merge after a change of one file", "budget", SIZES, change_cost_us)


if __name__ == "__main__":
    main()
