/*
 * context.c - reference-counted contexts and seeded random numbers.
 */
#include "base/context-private.h"

struct rr_context *rr_new_context(const struct rr_context_options *options)
{
	struct rr_context *ctx = g_new0(struct rr_context, 1);

	ctx->refs = 1;
	ctx->random = g_rand_new_with_seed(options ? options->seed : 0);
	if (options)
		ctx->log = options->log;
	ctx->log_windows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctx->latencies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ctx;
}

struct rr_context *rr_keep_context(struct rr_context *ctx)
{
	ctx->refs++;
	return ctx;
}

void rr_drop_context(struct rr_context *ctx)
{
	if (!ctx || --ctx->refs > 0)
		return;
	g_rand_free(ctx->random);
	g_hash_table_destroy(ctx->log_windows);
	g_hash_table_destroy(ctx->latencies);
	g_free(ctx);
}

uint32_t rr_random_u32(struct rr_context *ctx)
{
	return g_rand_int(ctx->random);
}

uint64_t rr_random_u64(struct rr_context *ctx)
{
	uint64_t high = g_rand_int(ctx->random);

	return high << 32 | g_rand_int(ctx->random);
}

uint32_t rr_random_below(struct rr_context *ctx, uint32_t limit)
{
	return (uint32_t)((uint64_t)g_rand_int(ctx->random) * limit >> 32);
}

double rr_random_unit(struct rr_context *ctx)
{
	return g_rand_double(ctx->random);
}
