"""Usage metering: requests started by workers, counted per tenant and time window."""
