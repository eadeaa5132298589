"""Configuration view of a host and how it is kept up to date."""
