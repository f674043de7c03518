"""Runs the command line as `python -m bellweir`."""

from bellweir.cli.main import main

if __name__ == "__main__":
    main()
