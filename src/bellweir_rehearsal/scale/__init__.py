"""Scale run: hollow nodes on real sockets, many to a process, at sizes no machine has nodes for."""
