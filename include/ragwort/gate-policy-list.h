/*
 * gate-policy-list.h - the table of what the gate decides by: identifier,
 * default, unit, and the load that the figure answers.
 * Included several times with RR_POLICY_TIME, RR_POLICY_FIGURE,
 * RR_POLICY_COUNT and RR_POLICY_SWITCH defined.
 */
/* clang-format off */

/* When an answer has to leave. */
RR_POLICY_TIME(answer_least_write_us, 2000, "kept back for an answer's way out: to be written, with this instance's share of a processor")
RR_POLICY_FIGURE(answer_write_part, 8, "of the latency objective", "the same for longer objectives, a part of them; raising it waits longer for parts, and more answers come late")
RR_POLICY_TIME(answer_guessed_rtt_us, 4000, "the way to a caller and back where its connection does not tell")
RR_POLICY_SWITCH(answer_counts_connect, true, "the first request of a connection has waited a round trip already")
RR_POLICY_TIME(answer_hand_back_us, 3000, "the way of an answer through the instance that handed a search over")
RR_POLICY_TIME(answer_left_us, 250000, "a caller that closed its side may still read: for so long it is served")
RR_POLICY_SWITCH(answer_ends_when_cut, true, "a refusal by an instance that is cut off ends its connection, so that the caller comes to another")

/* When callers are asked back. */
RR_POLICY_FIGURE(retry_from, 0.08, "of the time left", "callers are asked back after a part of the time they have left, drawn so that they spread")
RR_POLICY_FIGURE(retry_to, 0.3, "of the time left", "under a third: they do not come back later")
RR_POLICY_TIME(retry_base_us, 2000000, "taken for the time left where a caller told no deadline")

/* Whether a request is taken. */
RR_POLICY_SWITCH(admit_by_wait, true, "more comes than some services can do: refused at once where the wait ahead takes too much of the time (wait-queue.c has the parts)")

/* Which replica takes an attempt. */
RR_POLICY_TIME(choose_guess_us, 20000, "usual time of work until any was measured, where the route tells no objective")
RR_POLICY_FIGURE(choose_guess_part, 10, "of the latency objective", "the same as a part: most work takes a tenth of what callers are promised")
RR_POLICY_TIME(choose_far_us, 5000, "what the way to another zone counts for at least: bytes between zones are paid for")
RR_POLICY_FIGURE(choose_far_part, 0.2, "of the time left", "the same, as a part of the time that the caller still waits: time that nobody misses costs nothing")
RR_POLICY_FIGURE(choose_cold_factor, 1.6, "times", "work of a replica that has just started; its listing tells for how long")
RR_POLICY_FIGURE(choose_busy_weight, 0.3, "of the usual time", "what an open attempt of ours at a replica costs the next")
RR_POLICY_FIGURE(choose_loss_price, 4, "expected waits", "an attempt lost costs its own time and another's")
RR_POLICY_FIGURE(choose_loss_part, 1, "of the time left", "and an extra arrival, of which a service bears few")
RR_POLICY_COUNT(choose_draws, 4, "replicas", "compared for one attempt: most services have three, and of two the near one would be left out a third of the time")
RR_POLICY_FIGURE(choose_wait_power, 8, "exponent", "high: the nearer or quicker one nearly always")
RR_POLICY_SWITCH(choose_by_slowness, true, "replicas are compared by how slow they were of late")
RR_POLICY_SWITCH(choose_by_losses, true, "and by how often their answers were lost")
RR_POLICY_SWITCH(choose_avoids_suspects, true, "a replica that was silent gets no work until a probe reaches it, or a time is over")

/* How many attempts are open at a replica. */
RR_POLICY_SWITCH(limit_adapts, true, "grows while answers are not slower for it, shrinks with queues and refusals (limit.c has the figures)")
RR_POLICY_FIGURE(limit_shed_shrink, 0.5, "of the limit", "a refusal for want of room halves it, as loss does elsewhere")

/* When a part is sent to another replica as well. */
RR_POLICY_SWITCH(hedge_slow, true, "an attempt that takes longer than most is not waited for alone")
RR_POLICY_FIGURE(hedge_quantile, 0.93, "of attempts' times", "slower than that is hedged while hardly any extra attempt was used")
RR_POLICY_FIGURE(hedge_guess_factor, 3, "guessed times", "the same until times are known")
RR_POLICY_FIGURE(hedge_dear_factor, 8, "usual times", "when hardly an extra attempt is left")
RR_POLICY_TIME(hedge_least_us, 2000, "no sooner than that")
RR_POLICY_TIME(hedge_check_us, 4000, "until a hedge that could not be sent is looked at again")
RR_POLICY_SWITCH(hedge_ends_losers, true, "attempts are ended whose part has its answer: replicas would work them off before what is waited for")

/* How a service's allowances are shared among instances. */
RR_POLICY_FIGURE(share_slack_part, 0.8, "of the slack", "used of it; the rest is a margin for counts that differ")
RR_POLICY_FIGURE(share_weak_part, 0.2, "of the extra attempts", "for instances that hand searches over: single requests are few")
RR_POLICY_FIGURE(share_cold_part, 0.7, "of the requests", "used of what a cold replica may get from all; the rest is a margin for instances that know of others; raising it warms replicas sooner and risks the bound")
RR_POLICY_FIGURE(share_connection_part, 0.92, "of the connections", "used of what a replica takes")
RR_POLICY_FIGURE(share_kept_part, 0.5, "of the connections", "kept at rest: as many again find room")
RR_POLICY_SWITCH(share_opens_early, true, "a connection is made before it is needed where there is one for everybody")

/* Replicas whose entry has gone. */
RR_POLICY_TIME(list_unlisted_grace_us, 1800000, "a last resort for so long: entries lapse while the store is down and are back within two seconds of its return; the shortest time in which a removed replica must be left alone is three")

/* Zones that were evacuated. */
RR_POLICY_TIME(return_cold_us, 3000000, "a zone that is taken back gets a growing share of its work for so long, where its services do not tell how long replicas are cold; longer loads the other zones longer")

/* Replicas and zones that have fallen silent. */
RR_POLICY_TIME(silence_replica_us, 400000, "silence, added up over attempts that follow each other, that is no pause any more")
RR_POLICY_SWITCH(silence_of_open_attempts, true, "silence is judged while attempts are open, and not only when they are given up")
RR_POLICY_SWITCH(silence_of_zones, true, "a zone that is cut off is left alone as one")
RR_POLICY_SWITCH(silence_unready, true, "an instance that is cut off from all other zones and lacks a route says that it is not ready")
RR_POLICY_TIME(silence_zone_us, 200000, "a zone's replicas do not pause together: so long without any answer is a cut")
RR_POLICY_COUNT(silence_unanswered, 5, "attempts", "without an answer in that time")
RR_POLICY_COUNT(silence_next_unanswered, 3, "attempts", "once another zone is silent: a cut seldom takes one alone")
RR_POLICY_TIME(silence_doubt_us, 50000, "silence that is worth probes: less than callers of short searches wait, several times what an answer takes")
RR_POLICY_COUNT(silence_doubt_unanswered, 3, "attempts", "open or given up in that time")
RR_POLICY_COUNT(silence_doubt_probes, 2, "probes", "one replica may be dark by itself")
RR_POLICY_TIME(silence_verdict_us, 80000, "a machine answers a connection within a few milliseconds, whatever its replica does: by then not at all")
RR_POLICY_TIME(silence_probe_us, 300000, "between later probes; each costs a packet where nobody is there")
RR_POLICY_COUNT(silence_failed_probes, 2, "probes", "refused in a row, of replicas drawn at random: the zone is cut")

/* Searches of weak instances. */
RR_POLICY_SWITCH(peer_hands_over, true, "a weak instance needs longer to send ninety requests than callers wait: it hands the search whole to a strong one")
RR_POLICY_FIGURE(peer_much_stronger, 2, "times", "so much stronger must another be: less is not worth the way")
RR_POLICY_COUNT(peer_slots, 32, "searches", "of one instance that a strong one takes at once")
/* clang-format on */
