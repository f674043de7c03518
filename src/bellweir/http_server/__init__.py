"""HTTP server on waitress: connections, limits, request threads and how answers are written."""
