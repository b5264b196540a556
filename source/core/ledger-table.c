/*
 * ledger-table.c - mapping of ids to buckets, and the active and idle buckets.
 */
#include <string.h>
#include <xxhash.h>

#include "core/ledger-private.h"

/*
 * Ids created in one minute share a key, and the keys are reused after a day. A
 * write for a claim then contains the ids of one minute and not of the whole
 * retention. Both numbers and the hash determine the key of an id permanently;
 * after a change of any of them, ids claimed before would not be found.
 */
#define DEFAULT_SLICE_S 60
#define SLICES_PER_CYCLE 1440
/*
 * Limits for cached values of idle buckets, in encoded bytes; decoded, values
 * take about three times as much memory.
 */
#define MAX_IDLE_BYTES 2000000
#define MAX_IDLE_BUCKETS 1000

void rr_free_bucket(gpointer data)
{
	struct rr_ledger_bucket *bucket = data;

	rr_drop_ledger_value(bucket->value);
	g_queue_clear(&bucket->pending_claims);
	g_free(bucket->key);
	g_free(bucket);
}

static uint32_t hash_group(const char *name, uint32_t buckets)
{
	return (uint32_t)(XXH3_64bits(name, strlen(name)) % buckets);
}

uint32_t rr_ledger_group(const char *service, const char *id, uint32_t buckets)
{
	char *name = g_strdup_printf("%s/%s", service, id);
	uint32_t group = hash_group(name, MAX(buckets, 1));

	g_free(name);
	return group;
}

static struct rr_ledger_bucket *find_bucket(struct rr_ledger *ledger,
					    const char *name, int64_t created_s)
{
	const struct rr_ledger_options *options = &ledger->options;
	int64_t slice_s =
		options->time_slice_s ? options->time_slice_s : DEFAULT_SLICE_S;
	uint32_t group = hash_group(name, options->buckets);
	char *key =
		g_strdup_printf("ledger/%u/%d", group,
				(int)(created_s / slice_s % SLICES_PER_CYCLE));
	struct rr_ledger_bucket *bucket =
		g_hash_table_lookup(ledger->buckets, key);

	if (bucket) {
		g_free(key);
		return bucket;
	}
	bucket = g_new0(struct rr_ledger_bucket, 1);
	bucket->key = key;
	g_queue_init(&bucket->pending_claims);
	g_hash_table_insert(ledger->buckets, bucket->key, bucket);
	return bucket;
}

static void remove_from_idle(struct rr_ledger *ledger,
			     struct rr_ledger_bucket *bucket)
{
	if (!bucket->idle_link)
		return;
	g_queue_delete_link(&ledger->idle_buckets, bucket->idle_link);
	bucket->idle_link = NULL;
	ledger->idle_bytes -= bucket->value->encoded_size_bound;
}

void rr_enqueue_claim(struct rr_ledger *ledger, struct rr_claim *claim)
{
	struct rr_ledger_bucket *bucket;

	bucket = find_bucket(ledger, claim->name, claim->created_s);
	claim->bucket = bucket;
	g_queue_push_tail(&bucket->pending_claims, claim);
	if (bucket->active)
		return;
	remove_from_idle(ledger, bucket);
	bucket->active = true;
	g_ptr_array_add(ledger->active_buckets, bucket);
}

static void evict_bucket(struct rr_ledger *ledger,
			 struct rr_ledger_bucket *bucket)
{
	remove_from_idle(ledger, bucket);
	g_hash_table_remove(ledger->buckets, bucket->key);
}

static void add_to_idle(struct rr_ledger *ledger,
			struct rr_ledger_bucket *bucket)
{
	if (!bucket->value) {
		g_hash_table_remove(ledger->buckets, bucket->key);
		return;
	}
	g_queue_push_tail(&ledger->idle_buckets, bucket);
	bucket->idle_link = ledger->idle_buckets.tail;
	ledger->idle_bytes += bucket->value->encoded_size_bound;
	while (ledger->idle_bytes > MAX_IDLE_BYTES ||
	       ledger->idle_buckets.length > MAX_IDLE_BUCKETS)
		evict_bucket(ledger, g_queue_peek_head(&ledger->idle_buckets));
}

void rr_forget_bucket_values(struct rr_ledger *ledger)
{
	while (ledger->idle_buckets.length)
		evict_bucket(ledger, g_queue_peek_head(&ledger->idle_buckets));
	for (guint i = 0; i < ledger->active_buckets->len; i++) {
		struct rr_ledger_bucket *bucket =
			ledger->active_buckets->pdata[i];

		bucket->highest_revision = 0;
		/* The value of a write in flight is needed by its reply. */
		if (bucket->call == RR_LEDGER_CALL_WRITE)
			continue;
		rr_drop_ledger_value(bucket->value);
		bucket->value = NULL;
	}
}

void rr_deactivate_idle_buckets(struct rr_ledger *ledger)
{
	guint i = 0;

	while (i < ledger->active_buckets->len) {
		struct rr_ledger_bucket *bucket =
			ledger->active_buckets->pdata[i];

		if (bucket->pending_claims.length ||
		    bucket->call != RR_LEDGER_CALL_NONE) {
			i++;
			continue;
		}
		bucket->active = false;
		g_ptr_array_remove_index(ledger->active_buckets, i);
		add_to_idle(ledger, bucket);
	}
}
