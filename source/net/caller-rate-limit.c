/*
 * caller-rate-limit.c - token bucket per caller address.
 */
#include "net/caller-private.h"

#include <string.h>

/*
 * Addresses with a bucket of their own; further ones share one bucket, so that
 * memory stays bounded.
 */
#define MAX_ADDRESSES 10000
/* A site usually has a whole /64, so it counts as one address. */
#define IPV6_PREFIX_BYTES 8
#define US_PER_S 1000000

struct bucket {
	double tokens;
	int64_t refilled_us;
};

struct rr_caller_rate_limiter {
	uint32_t per_s;
	GHashTable *buckets; /* address (GBytes) -> struct bucket */
	struct bucket shared;
	int64_t last_sweep_us;
};

struct rr_caller_rate_limiter *rr_new_caller_rate_limiter(uint32_t per_s)
{
	struct rr_caller_rate_limiter *limiter =
		g_new0(struct rr_caller_rate_limiter, 1);

	limiter->per_s = per_s;
	limiter->shared.tokens = per_s;
	limiter->buckets =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, g_free);
	return limiter;
}

void rr_drop_caller_rate_limiter(struct rr_caller_rate_limiter *limiter)
{
	if (!limiter)
		return;
	g_hash_table_destroy(limiter->buckets);
	g_free(limiter);
}

/* A bucket holds the tokens of one second at most. */
static void refill_bucket(const struct rr_caller_rate_limiter *limiter,
			  struct bucket *bucket, int64_t now_us)
{
	double earned = (double)(now_us - bucket->refilled_us) *
			limiter->per_s / US_PER_S;

	bucket->tokens = MIN(bucket->tokens + earned, (double)limiter->per_s);
	bucket->refilled_us = now_us;
}

/*
 * Removes full buckets, which need not be stored; at most once per second, as
 * it visits all of them.
 */
static void remove_full_buckets(struct rr_caller_rate_limiter *limiter,
				int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us - limiter->last_sweep_us < US_PER_S)
		return;
	limiter->last_sweep_us = now_us;
	g_hash_table_iter_init(&iter, limiter->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		refill_bucket(limiter, bucket, now_us);
		if (bucket->tokens >= limiter->per_s)
			g_hash_table_iter_remove(&iter);
	}
}

static struct bucket *find_bucket(struct rr_caller_rate_limiter *limiter,
				  GInetAddress *address, int64_t now_us)
{
	bool is_ipv6 =
		g_inet_address_get_family(address) == G_SOCKET_FAMILY_IPV6;
	GBytes *key =
		g_bytes_new(g_inet_address_to_bytes(address),
			    is_ipv6 ? IPV6_PREFIX_BYTES :
				      g_inet_address_get_native_size(address));
	struct bucket *bucket = g_hash_table_lookup(limiter->buckets, key);

	if (!bucket && g_hash_table_size(limiter->buckets) >= MAX_ADDRESSES)
		remove_full_buckets(limiter, now_us);
	if (bucket || g_hash_table_size(limiter->buckets) >= MAX_ADDRESSES) {
		g_bytes_unref(key);
		return bucket ? bucket : &limiter->shared;
	}
	bucket = g_new0(struct bucket, 1);
	bucket->tokens = limiter->per_s;
	bucket->refilled_us = now_us;
	g_hash_table_insert(limiter->buckets, key, bucket);
	return bucket;
}

bool rr_consume_rate_token(struct rr_caller_rate_limiter *limiter,
			   GInetAddress *address, int64_t now_us)
{
	struct bucket *bucket = find_bucket(limiter, address, now_us);

	refill_bucket(limiter, bucket, now_us);
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}
