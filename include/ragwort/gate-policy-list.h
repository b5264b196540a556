/*
 * gate-policy-list.h - the table of the gate's policy parameters.
 *
 * Each entry has its name, default, unit and help text.
 * Included several times with RR_POLICY_TIME, RR_POLICY_NUMBER,
 * RR_POLICY_COUNT and RR_POLICY_SWITCH defined.
 */
/* clang-format off */

/* Deadline of a response. */
RR_POLICY_TIME(answer_least_write_us, 2000, "minimum time reserved for sending the response; raising it leaves less time for the shards to answer")
RR_POLICY_NUMBER(answer_write_part, 8, "of the latency objective", "divisor: the objective divided by this is reserved for sending the response; raising it reserves less, and more responses arrive late")
RR_POLICY_TIME(answer_guessed_rtt_us, 4000, "round-trip time assumed for a caller whose connection does not report one; raising it sends responses to such callers earlier")
RR_POLICY_SWITCH(answer_counts_connect, true, "on a new connection, subtract one more round trip, for its handshake, from the time available")
RR_POLICY_TIME(answer_hand_back_us, 3000, "time reserved for returning a response through the instance that forwarded the search; raising it leaves less time for the shards to answer")
RR_POLICY_TIME(answer_left_us, 250000, "how long an idempotent request is still served after its caller closed its sending side; raising it does more work for callers that may be gone")
RR_POLICY_SWITCH(answer_ends_when_cut, true, "close the caller's connection after a rejection by an isolated instance, so that the caller reconnects to another instance")

/* Retry-After of rejected requests. */
RR_POLICY_NUMBER(retry_from, 0.08, "of the time left", "minimum Retry-After; values are drawn at random between retry_from and retry_to to spread callers; raising it makes callers return later")
RR_POLICY_NUMBER(retry_to, 0.3, "of the time left", "maximum Retry-After; callers wait for at most a third of the time left; raising it spreads callers over a longer time")
RR_POLICY_TIME(retry_base_us, 2000000, "time left that is assumed for a caller without a deadline; raising it makes such callers retry later")

/* Admission of requests. */
RR_POLICY_SWITCH(admit_by_wait, true, "reject a request at once if its expected wait in the queue takes too much of its time (wait-queue.c)")

/* Choice of the replica for an attempt. */
RR_POLICY_TIME(choose_guess_us, 20000, "assumed typical attempt time until there are enough samples, on routes without an objective; raising it hedges later and gives distance less weight")
RR_POLICY_NUMBER(choose_guess_part, 10, "of the latency objective", "divisor: the objective divided by this is the assumed typical attempt time until there are enough samples, on routes with an objective; raising it lowers the assumed time")
RR_POLICY_TIME(choose_far_us, 5000, "minimum cost added for a replica in another zone; raising it sends fewer attempts to other zones")
RR_POLICY_NUMBER(choose_far_part, 0.2, "of the time left", "cost added for a replica in another zone, if more than choose_far_us; raising it keeps using a slow local replica for longer")
RR_POLICY_NUMBER(choose_far_search_part, 0.1, "of the time left", "the same for a part of a search, which ends with its slowest parts")
RR_POLICY_NUMBER(choose_cold_factor, 1.6, "times", "factor by which attempts are expected to take longer at a cold replica; raising it sends fewer attempts to cold replicas")
RR_POLICY_NUMBER(choose_busy_weight, 0.3, "of the usual time", "cost added for each attempt of this instance in flight at the replica; raising it spreads attempts more evenly")
RR_POLICY_NUMBER(choose_loss_price, 4, "expected waits", "cost added for a replica's loss rate, in expected waits; raising it sends fewer attempts to replicas that lose attempts")
RR_POLICY_NUMBER(choose_loss_part, 1, "of the time left", "cost added for a replica's loss rate, for the extra attempt that follows a lost one; raising it sends fewer attempts to replicas that lose attempts")
RR_POLICY_COUNT(choose_draws, 4, "replicas", "replicas drawn at random and compared for each attempt; raising it finds the best replica more often")
RR_POLICY_NUMBER(choose_wait_power, 8, "exponent", "exponent of the weight that expected waits have in the choice between two replicas; raising it chooses the shorter wait more reliably; 1 chooses in proportion")
RR_POLICY_SWITCH(choose_by_slowness, true, "compare replicas by the latency of their recent replies")
RR_POLICY_SWITCH(choose_by_losses, true, "compare replicas by the rate of their lost attempts")
RR_POLICY_SWITCH(choose_avoids_suspects, true, "send no attempts to a replica that stopped responding until a probe reaches it or the suspicion expires")

/* Limit on the attempts in flight at a replica. */
RR_POLICY_SWITCH(limit_adapts, true, "limit the attempts in flight at a replica by its latency and its rejections (concurrency-limit.c)")
RR_POLICY_NUMBER(limit_shed_shrink, 0.5, "of the limit", "factor applied to the limit when a replica rejects an attempt for lack of capacity; raising it reduces the limit less")

/* Hedging of slow parts. */
RR_POLICY_SWITCH(hedge_slow, true, "hedge a part whose attempt is slow: send it to another replica as well")
RR_POLICY_NUMBER(hedge_quantile, 0.93, "of attempts' times", "quantile of attempt times after which a part is hedged while the retry budget is unused; raising it sends fewer hedges")
RR_POLICY_NUMBER(hedge_guess_factor, 3, "guessed times", "multiple of the assumed attempt time after which a part is hedged until there are enough samples; raising it sends fewer hedges")
RR_POLICY_NUMBER(hedge_dear_factor, 8, "usual times", "multiple of the typical attempt time after which a part is hedged when the retry budget is nearly spent; raising it sends fewer hedges")
RR_POLICY_TIME(hedge_least_us, 2000, "minimum time before a hedge; raising it delays hedges on fast routes")
RR_POLICY_TIME(hedge_check_us, 4000, "interval between tries of a hedge that could not be sent; raising it sends delayed hedges later")
RR_POLICY_SWITCH(hedge_ends_losers, true, "cancel the other attempts of a part once one has answered, so that replicas do no work on them")

/* Division of a service's budgets among instances. */
RR_POLICY_NUMBER(share_slack_part, 0.8, "of the slack", "part of the retry budget's slack that is divided among the instances; the rest allows for differing instance counts; raising it allows more extra attempts and leaves less margin")
RR_POLICY_NUMBER(share_start_part, 0.2, "of an instance's slack", "part of an instance's slack that only a process in its first window uses; raising it hedges more after a start and less later")
RR_POLICY_NUMBER(share_weak_part, 0.2, "of the extra attempts", "part of the retry budget for the instances that forward searches; raising it takes from the coordinators")
RR_POLICY_NUMBER(share_cold_part, 0.7, "of the requests", "part of the bound on requests to a cold replica that is divided among the instances; the rest allows for differing lists of instances; raising it warms replicas faster and leaves less margin")
RR_POLICY_NUMBER(share_connection_part, 0.92, "of the connections", "part of a replica's connections that is divided among the instances; the rest allows for differing instance counts; raising it allows more connections and leaves less margin")
RR_POLICY_NUMBER(share_kept_part, 0.5, "of the connections", "part of a replica's connections that the instances may keep idle; the rest is left for new connections; raising it opens fewer new connections and leaves less room for them")
RR_POLICY_SWITCH(share_opens_early, true, "open a connection when a replica is listed, if the replica accepts one from each instance")

/* Replicas whose entry is gone. */
RR_POLICY_TIME(list_unlisted_grace_us, 1800000, "how long a replica stays in use as a last resort after its entry is gone, because entries also expire during an outage of the store; at most what is left of the time for which removed replicas serve")

/* Zones whose evacuation has ended. */
RR_POLICY_TIME(return_cold_us, 3000000, "how long the share of a zone grows after its evacuation ends, if its services configure no warm-up time; raising it loads the other zones for longer")

/* Detection of unresponsive replicas and zones. */
RR_POLICY_TIME(silence_replica_us, 400000, "time without a reply, with an attempt in flight, after which a replica is suspected; raising it finds a failure later, lowering it suspects replicas that only pause")
RR_POLICY_SWITCH(silence_of_open_attempts, true, "detect unresponsive replicas while attempts are in flight, not only when attempts end")
RR_POLICY_SWITCH(silence_of_zones, true, "detect when all replicas of a zone stop responding, and stop sending to the zone as a whole")
RR_POLICY_SWITCH(silence_unready, true, "report not ready while all other zones are unreachable and a route cannot be served for that reason")
RR_POLICY_TIME(silence_zone_us, 200000, "time without a reply from a whole zone after which it is unreachable; raising it finds a network partition later")
RR_POLICY_COUNT(silence_unanswered, 5, "attempts", "minimum number of attempts without a reply in that time; raising it finds a network partition later, with fewer false alarms")
RR_POLICY_COUNT(silence_next_unanswered, 3, "attempts", "minimum number of attempts without a reply while another zone does not respond; raising it finds a second partition later")
RR_POLICY_TIME(suspect_zone_us, 50000, "time without a reply from a whole zone after which it is suspected and probed; raising it finds a network partition later, lowering it opens more connections")
RR_POLICY_COUNT(suspect_zone_unanswered, 3, "attempts", "minimum number of attempts in flight, lost or cancelled in that time; raising it probes less often")
RR_POLICY_COUNT(suspect_zone_probes, 2, "probes", "replicas of a suspected zone that are probed at once, because a single one may be down by itself; raising it opens more connections")
RR_POLICY_TIME(suspect_probe_timeout_us, 80000, "timeout of the probes of a suspected zone; raising it finds a network partition later")
RR_POLICY_TIME(silence_probe_us, 300000, "interval between later probes of an unreachable zone or replica; raising it finds a recovery later")
RR_POLICY_COUNT(silence_failed_probes, 2, "probes", "consecutive failed probes after which a suspected zone is unreachable; raising it finds a network partition later")

/* Quarantine of requests that crash replicas. */
RR_POLICY_SWITCH(quarantine_known, true, "detect requests that crash replicas (queries of death) and stop sending them")
RR_POLICY_COUNT(quarantine_crashes, 3, "replicas", "replicas that crash under a request before it is quarantined; raising it loses more replicas, lowering it quarantines more harmless requests that were in flight at the same replicas")
RR_POLICY_TIME(quarantine_harmless_us, 10000000, "how long a request that completed is not suspected; raising it protects harmless requests that are rare, and delays the detection of requests that become harmful")
RR_POLICY_TIME(quarantine_hold_us, 600000000, "time until a quarantined request is tried once; the next trial follows after four times as long; raising it keeps a repaired request in quarantine for longer")
RR_POLICY_COUNT(quarantine_trials, 2, "trials", "trials of a quarantined request; after the last one it stays until an operator removes its entry; raising it risks more replicas")
RR_POLICY_TIME(quarantine_claim_us, 250000, "how long a quarantined request waits for the store to grant it the trial; raising it holds the request for longer when the store is slow")

/* Forwarding of searches by weak instances. */
RR_POLICY_SWITCH(peer_hands_over, true, "a weak instance forwards its searches to a coordinator")
RR_POLICY_NUMBER(peer_much_stronger, 2, "times", "minimum ratio of a coordinator's strength to that of the instance that forwards to it; raising it makes fewer instances forward")
RR_POLICY_COUNT(peer_slots, 32, "searches", "searches of one instance that a coordinator serves at once; raising it forwards more searches at once")
/* clang-format on */
