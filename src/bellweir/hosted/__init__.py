"""Bellweir as a service of a hosting platform: two roles, `gateway` and `store`.

The platform keeps the configuration and the list of workers in an object store, passes a process
its addresses in a settings file and stops it by a signal. An adapter outside this package
implements `bellweir.hosted.interface` for the platform's names, formats and calls.
"""
