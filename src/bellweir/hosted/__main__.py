"""Runs a hosted process: `python -m bellweir.hosted`, settings by `BELLWEIR_CONFIG`."""

from bellweir.hosted.process import main

if __name__ == "__main__":
    main()
