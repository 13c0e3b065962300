"""Scheduling of submissions: which item runs where and when, which engine loads which weights.

Decisions, free of I/O: `item_queues` (order and moves of items), `item_placements`, `item_pacing`,
`submission_queues`, `tracked_items`, `event_intervals`, `queued_items`, `run_ends`, `weight_plans`,
`reusable_outputs`. What carries them out: `schedulers` with `engine_fleets`, `item_starts`,
`item_moves`, `submission_adoptions`, `submission_works`, `item_runs`, `item_endings`,
`weight_schedules`, `engine_orders`, `reward_calls`, `submission_sweeps`.
"""
