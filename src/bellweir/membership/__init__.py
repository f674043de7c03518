"""Who is alive, in which zone, leaving or not; and who owns which worker."""
