"""The rehearsal kit: stand-ins, load, faults and experiments. The service never imports it."""
