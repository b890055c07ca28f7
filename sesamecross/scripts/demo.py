"""Runs the demo, or keeps a deployment up."""

import argparse
import functools
import sys

from sesamecross.devtools import demo


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("demo", "up"))
    flags = parser.parse_args()
    print_line = functools.partial(print, flush=True)
    if flags.what == "demo":
        return demo.run_demo(print_line)
    return demo.run_up(print_line)


if __name__ == "__main__":
    sys.exit(main())
