"""Records of a rehearsal: what callers, trainers, operators, faults and observers saw and did."""
