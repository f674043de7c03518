"""Version of the resource documents."""

API_VERSION = "bellweir.dev/v1"
