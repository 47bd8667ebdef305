"""Help texts of the metrics.

The help text of any other metric is its name with spaces for underscores.
"""

HELP_BY_NAME = {
    "answers": "Answers of runners by verdict and by how their bytes ended.",
    "barred_traits": "Sets of traits that requests are refused for.",
    "configuration_age_seconds": "Seconds since this host knew it was current.",
    "configuration_generation": "Generation of the configuration in force.",
    "configuration_fetch_failures": "Failed reads of a newer generation at a peer.",
    "host_list_failures": "Failed reads of the host list.",
    "members_rejected": "News of members that was not valid.",
    "members_suspected": "Hosts that answered neither this host nor others.",
    "orders_sent": "Orders sent to runners.",
    "orders_refused": "Orders that a runner refused.",
    "orders_held": "Pools whose orders this host sends.",
    "pauses": "Times that this process was frozen.",
    "peer_calls": "Calls to peers, by method.",
    "peer_calls_failed": "Calls to peers that were not answered.",
    "peer_connections_replaced": "Connections to peers that fell silent.",
    "peer_message_bytes": "Bytes of messages to and from peers, as the caller.",
    "quota_borrowings": "Requests that were short of quota, by what others lent.",
    "quota_charges": "Requests that were charged to a workspace's quota.",
    "quota_loans": "Requests of other hosts for quota, by what this host lent.",
    "quota_refunds": "Charges that were refunded, as no runner ran the request.",
    "quota_refusals": "Requests over quota, by the step that refused them.",
    "runner_crashes": "Crashes of runners under requests that had just begun.",
    "runner_leaving_answers": "Answers in which runners stated that they leave.",
    "runner_limit_changes": "Limits that runners stated, changed or ended.",
    "runner_pauses": "Answers with which runners asked this host for a pause.",
    "runner_statements_invalid": "Statements of runners that were not valid.",
    "store_calls": "Calls to the key-value service; a watch counts as one.",
    "store_failures": "Failed calls to the key-value service.",
    "store_restorations": "Times that the store came back from an older copy.",
    "store_restores": "Times that the store held an older generation than this host.",
}
