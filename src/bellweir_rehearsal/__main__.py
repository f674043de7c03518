"""`python -m bellweir_rehearsal`: the kit's commands without the service's."""

import sys

from bellweir_rehearsal.cli import main

if __name__ == "__main__":
    main(sys.argv[1:])
