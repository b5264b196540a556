/*
 * caller-rate-limit.c - a token bucket for each address that callers come from.
 */
#include "net/caller-private.h"

#include <string.h>

/* Addresses kept; more share one bucket, so that memory stays bounded. */
#define MAX_ADDRESSES 10000
/* A network hands a whole /64 to one site: it counts as one address. */
#define IPV6_PREFIX_BYTES 8
#define US_PER_S 1000000

struct bucket {
	double tokens;
	int64_t filled_us;
};

struct rr_caller_rate_limiter {
	uint32_t per_s;
	GHashTable *buckets; /* address as GBytes to struct bucket */
	struct bucket shared;
	int64_t swept_us;
};

struct rr_caller_rate_limiter *rr_new_caller_rate_limiter(uint32_t per_s)
{
	struct rr_caller_rate_limiter *rate =
		g_new0(struct rr_caller_rate_limiter, 1);

	rate->per_s = per_s;
	rate->shared.tokens = per_s;
	rate->buckets =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, g_free);
	return rate;
}

void rr_drop_caller_rate_limiter(struct rr_caller_rate_limiter *rate)
{
	if (!rate)
		return;
	g_hash_table_destroy(rate->buckets);
	g_free(rate);
}

/* One second's worth is the most that a bucket holds. */
static void fill(const struct rr_caller_rate_limiter *rate,
		 struct bucket *bucket, int64_t now_us)
{
	double more =
		(double)(now_us - bucket->filled_us) * rate->per_s / US_PER_S;

	bucket->tokens = MIN(bucket->tokens + more, (double)rate->per_s);
	bucket->filled_us = now_us;
}

/* Full buckets need not be kept; once a second, as it looks at all. */
static void sweep(struct rr_caller_rate_limiter *rate, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us - rate->swept_us < US_PER_S)
		return;
	rate->swept_us = now_us;
	g_hash_table_iter_init(&iter, rate->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		fill(rate, bucket, now_us);
		if (bucket->tokens >= rate->per_s)
			g_hash_table_iter_remove(&iter);
	}
}

static struct bucket *find_bucket(struct rr_caller_rate_limiter *rate,
				  GInetAddress *address, int64_t now_us)
{
	bool is_ipv6 =
		g_inet_address_get_family(address) == G_SOCKET_FAMILY_IPV6;
	GBytes *key =
		g_bytes_new(g_inet_address_to_bytes(address),
			    is_ipv6 ? IPV6_PREFIX_BYTES :
				      g_inet_address_get_native_size(address));
	struct bucket *bucket = g_hash_table_lookup(rate->buckets, key);

	if (!bucket && g_hash_table_size(rate->buckets) >= MAX_ADDRESSES)
		sweep(rate, now_us);
	if (bucket || g_hash_table_size(rate->buckets) >= MAX_ADDRESSES) {
		g_bytes_unref(key);
		return bucket ? bucket : &rate->shared;
	}
	bucket = g_new0(struct bucket, 1);
	bucket->tokens = rate->per_s;
	bucket->filled_us = now_us;
	g_hash_table_insert(rate->buckets, key, bucket);
	return bucket;
}

bool rr_consume_rate_token(struct rr_caller_rate_limiter *rate,
			   GInetAddress *address, int64_t now_us)
{
	struct bucket *bucket = find_bucket(rate, address, now_us);

	fill(rate, bucket, now_us);
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}
