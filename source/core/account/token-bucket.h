/*
 * token-bucket.h - token bucket that fills with time.
 */
#ifndef RAGWORT_CORE_ACCOUNT_TOKEN_BUCKET_H
#define RAGWORT_CORE_ACCOUNT_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#define RR_MAX_BUCKET_TOKENS 1e9

struct rr_token_bucket {
	double tokens;
	double capacity;
	double rate_per_s;
	int64_t filled_us; /* time up to which it was filled */
};

/*
 * Set rate and capacity, each at most RR_MAX_BUCKET_TOKENS; tokens beyond the
 * capacity are lost.
 */
void rr_set_token_bucket(struct rr_token_bucket *bucket, int64_t now_us,
			 double rate_per_s, double capacity);
/* Start a bucket with `tokens`, filling since `since_us`, which may be later. */
void rr_start_token_bucket(struct rr_token_bucket *bucket, double tokens,
			   int64_t since_us);
/* Take up to `n` whole tokens; returns how many. */
uint32_t rr_take_from_bucket(struct rr_token_bucket *bucket, int64_t now_us,
			     uint32_t n);
/* Put back tokens that were taken and not used. */
void rr_put_into_bucket(struct rr_token_bucket *bucket, uint32_t n);
/* Return the whole tokens in it. */
uint32_t rr_count_bucket_tokens(struct rr_token_bucket *bucket, int64_t now_us);
/* Return the time until it has `n` tokens; INT64_MAX if it never will. */
int64_t rr_time_until_tokens_us(struct rr_token_bucket *bucket, int64_t now_us,
				double n);

#endif
