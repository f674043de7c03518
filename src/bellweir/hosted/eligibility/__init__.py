"""Which workers may get work now: evacuated zones and the request rate of cold workers."""
