/*
 * token-bucket.c - token bucket that fills with time.
 */
#include "core/account/token-bucket.h"

#include <glib.h>

/* A longer time is not represented. */
#define MAX_WAIT_US 1e15

static void fill(struct rr_token_bucket *bucket, int64_t now_us)
{
	int64_t passed_us = now_us - bucket->filled_us;

	if (passed_us <= 0)
		return;
	bucket->tokens += bucket->rate_per_s * (double)passed_us / 1e6;
	bucket->tokens = MIN(bucket->tokens, bucket->capacity);
	bucket->filled_us = now_us;
}

void rr_set_token_bucket(struct rr_token_bucket *bucket, int64_t now_us,
			 double rate_per_s, double capacity)
{
	fill(bucket, now_us);
	bucket->rate_per_s = MIN(rate_per_s, RR_MAX_BUCKET_TOKENS);
	bucket->capacity = MIN(capacity, RR_MAX_BUCKET_TOKENS);
	bucket->tokens = MIN(bucket->tokens, bucket->capacity);
}

void rr_start_token_bucket(struct rr_token_bucket *bucket, double tokens,
			   int64_t since_us)
{
	bucket->tokens = MIN(tokens, bucket->capacity);
	bucket->filled_us = since_us;
}

uint32_t rr_count_bucket_tokens(struct rr_token_bucket *bucket, int64_t now_us)
{
	fill(bucket, now_us);
	return (uint32_t)bucket->tokens;
}

uint32_t rr_take_from_bucket(struct rr_token_bucket *bucket, int64_t now_us,
			     uint32_t n)
{
	n = MIN(n, rr_count_bucket_tokens(bucket, now_us));
	bucket->tokens -= n;
	return n;
}

void rr_put_into_bucket(struct rr_token_bucket *bucket, uint32_t n)
{
	bucket->tokens = MIN(bucket->tokens + n, bucket->capacity);
}

int64_t rr_time_until_tokens_us(struct rr_token_bucket *bucket, int64_t now_us,
				double n)
{
	double missing;

	fill(bucket, now_us);
	missing = n - bucket->tokens;
	if (missing <= 0)
		return 0;
	missing = missing / bucket->rate_per_s * 1e6;
	/* Also if the rate is 0. */
	if (!(missing < MAX_WAIT_US))
		return INT64_MAX;
	return (int64_t)missing + 1 + MAX(bucket->filled_us - now_us, 0);
}
