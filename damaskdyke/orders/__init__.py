"""Non-idempotent requests: tickets, ledger, hand-over and withdrawal."""
