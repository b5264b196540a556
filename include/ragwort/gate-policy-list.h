/*
 * gate-policy-list.h - the table of what the gate decides by: identifier,
 * default, unit, and what it does.
 * Included several times with RR_POLICY_TIME, RR_POLICY_NUMBER,
 * RR_POLICY_COUNT and RR_POLICY_SWITCH defined.
 */
/* clang-format off */

/* When an answer has to leave. */
RR_POLICY_TIME(answer_least_write_us, 2000, "least time kept back for an answer's way out; raising it leaves less time for parts")
RR_POLICY_NUMBER(answer_write_part, 8, "of the latency objective", "time kept back for an answer's way out, as this part of the objective; raising it keeps back less, and more answers come late")
RR_POLICY_TIME(answer_guessed_rtt_us, 4000, "round trip to a caller whose connection does not tell it")
RR_POLICY_SWITCH(answer_counts_connect, true, "on a new connection the round trip of its making is taken off the time as well")
RR_POLICY_TIME(answer_hand_back_us, 3000, "time kept back for an answer's way through the instance that handed the search over")
RR_POLICY_TIME(answer_left_us, 250000, "how long a caller that closed its side is still served; raising it works longer for callers that are gone")
RR_POLICY_SWITCH(answer_ends_when_cut, true, "a refusal by an instance that is cut off ends its connection, so that the caller comes to another")

/* When callers are asked back. */
RR_POLICY_NUMBER(retry_from, 0.08, "of the time left", "least Retry-After; callers are spread from here to retry_to")
RR_POLICY_NUMBER(retry_to, 0.3, "of the time left", "most Retry-After; callers do not wait for longer than a third")
RR_POLICY_TIME(retry_base_us, 2000000, "taken for the time left where a caller told no deadline")

/* Whether a request is taken. */
RR_POLICY_SWITCH(admit_by_wait, true, "requests are refused at once where the wait ahead takes too much of their time (wait-queue.c)")

/* Which replica takes an attempt. */
RR_POLICY_TIME(choose_guess_us, 20000, "usual time of work until any was seen, on routes without an objective")
RR_POLICY_NUMBER(choose_guess_part, 10, "of the latency objective", "the same on routes with one, as this part of the objective")
RR_POLICY_TIME(choose_far_us, 5000, "least price of a replica in another zone; raising it sends less between zones")
RR_POLICY_NUMBER(choose_far_part, 0.2, "of the time left", "the same as a part of the time left; raising it waits longer for a slow near replica")
RR_POLICY_NUMBER(choose_cold_factor, 1.6, "times", "how many times longer work takes at a cold replica")
RR_POLICY_NUMBER(choose_busy_weight, 0.3, "of the usual time", "price of an open attempt of this instance at the replica")
RR_POLICY_NUMBER(choose_loss_price, 4, "expected waits", "price of an attempt that may be lost")
RR_POLICY_NUMBER(choose_loss_part, 1, "of the time left", "price of the extra attempt that follows a lost one")
RR_POLICY_COUNT(choose_draws, 4, "replicas", "replicas drawn and compared for one attempt")
RR_POLICY_NUMBER(choose_wait_power, 8, "exponent", "how surely the shorter of two expected waits wins; 1 draws in proportion")
RR_POLICY_SWITCH(choose_by_slowness, true, "replicas are compared by how slow their last answers were")
RR_POLICY_SWITCH(choose_by_losses, true, "replicas are compared by how often their answers were lost")
RR_POLICY_SWITCH(choose_avoids_suspects, true, "a replica that was silent gets no work until a probe reaches it or its suspicion ends")

/* How many attempts are open at a replica. */
RR_POLICY_SWITCH(limit_adapts, true, "open attempts at a replica are limited by its answers' times and refusals (concurrency-limit.c)")
RR_POLICY_NUMBER(limit_shed_shrink, 0.5, "of the limit", "what a refusal for want of room leaves of the limit")

/* When a part is sent to another replica as well. */
RR_POLICY_SWITCH(hedge_slow, true, "a part whose attempt is slow is sent to another replica as well")
RR_POLICY_NUMBER(hedge_quantile, 0.93, "of attempts' times", "how slow that is while the retry budget is unused; lowering it sends more extra attempts")
RR_POLICY_NUMBER(hedge_guess_factor, 3, "guessed times", "the same until times were seen")
RR_POLICY_NUMBER(hedge_dear_factor, 8, "usual times", "the same when hardly any of the retry budget is left")
RR_POLICY_TIME(hedge_least_us, 2000, "no hedge sooner than this")
RR_POLICY_TIME(hedge_check_us, 4000, "time until a hedge that could not be sent is tried again")
RR_POLICY_SWITCH(hedge_ends_losers, true, "other attempts of a part are ended when one has answered, so that replicas do not work them off")

/* How a service's allowances are shared among instances. */
RR_POLICY_NUMBER(share_slack_part, 0.8, "of the slack", "part of the retry budget's slack that all instances share; the rest covers counts that differ")
RR_POLICY_NUMBER(share_weak_part, 0.2, "of the extra attempts", "part of the retry budget for instances that hand searches over; raising it takes from those that gather")
RR_POLICY_NUMBER(share_cold_part, 0.7, "of the requests", "part of a cold replica's bound that all instances share; the rest covers lists of instances that differ")
RR_POLICY_NUMBER(share_connection_part, 0.92, "of the connections", "part of a replica's connections that all instances share; the rest covers counts that differ")
RR_POLICY_NUMBER(share_kept_part, 0.5, "of the connections", "part of a replica's connections that all instances keep at rest; the rest is room for new ones")
RR_POLICY_SWITCH(share_opens_early, true, "a connection is made when a replica is listed, where there is one for each instance")

/* Replicas whose entry has gone. */
RR_POLICY_TIME(list_unlisted_grace_us, 1800000, "how long a replica whose entry is gone stays the last resort, as entries lapse with the store's outages; raising it risks the bound on removed replicas")

/* Zones that were evacuated. */
RR_POLICY_TIME(return_cold_us, 3000000, "how long a zone that is taken back gets a growing share, where its services tell no time; raising it loads other zones longer")

/* Replicas and zones that have fallen silent. */
RR_POLICY_TIME(silence_replica_us, 400000, "silence with an attempt open after which a replica is suspected; lowering it suspects replicas that pause")
RR_POLICY_SWITCH(silence_of_open_attempts, true, "silence is judged while attempts are open, and not only when they end")
RR_POLICY_SWITCH(silence_of_zones, true, "a zone whose replicas are all silent is left alone as one")
RR_POLICY_SWITCH(silence_unready, true, "an instance that is cut off from all other zones and lacks a route for it is not ready")
RR_POLICY_TIME(silence_zone_us, 200000, "silence of a whole zone that is a cut")
RR_POLICY_COUNT(silence_unanswered, 5, "attempts", "attempts without an answer in that time, at least")
RR_POLICY_COUNT(silence_next_unanswered, 3, "attempts", "the same while another zone is silent")
RR_POLICY_TIME(suspect_zone_us, 50000, "silence of a whole zone that is worth probes; lowering it makes more connections")
RR_POLICY_COUNT(suspect_zone_unanswered, 3, "attempts", "attempts open or given up in that time, at least")
RR_POLICY_COUNT(suspect_zone_probes, 2, "probes", "replicas that are probed at once then, as one may be down by itself")
RR_POLICY_TIME(suspect_probe_timeout_us, 80000, "time that these probes have; raising it finds a cut later")
RR_POLICY_TIME(silence_probe_us, 300000, "time between later probes of a silent zone or replica")
RR_POLICY_COUNT(silence_failed_probes, 2, "probes", "probes refused in a row that show a cut")

/* Requests that crash replicas. */
RR_POLICY_SWITCH(quarantine_known, true, "requests that crash replicas are detected and not sent to replicas any more")
RR_POLICY_COUNT(quarantine_crashes, 3, "replicas", "replicas that crash under a request until it is kept from them; lowering it condemns more bystanders")
RR_POLICY_TIME(quarantine_harmless_us, 10000000, "how long a request that ran to its end is not suspected; raising it protects bystanders that are asked seldom, and delays what becomes harmful")
RR_POLICY_TIME(quarantine_hold_us, 600000000, "until a request in quarantine is tried once; four times as long until the next trial")
RR_POLICY_COUNT(quarantine_trials, 2, "trials", "trials of a request in quarantine; then operators remove its entry")
RR_POLICY_TIME(quarantine_claim_us, 250000, "how long such a request waits for the store to grant it the trial")

/* Searches of weak instances. */
RR_POLICY_SWITCH(peer_hands_over, true, "a weak instance hands its searches over to a strong one")
RR_POLICY_NUMBER(peer_much_stronger, 2, "times", "how much stronger that one is at least")
RR_POLICY_COUNT(peer_slots, 32, "searches", "searches of one instance that a strong one takes at once")
/* clang-format on */
