"""Bellweir as a service of a hosting platform: two roles, `gateway` and `store`.

The hosting platform keeps the configuration and the list of workers in an object store, tells a
process its addresses by a settings file and stops it by a signal. Its names, formats and calls
come through `bellweir.hosted.interface` from an adapter outside of this package.
"""
