/*
 * lost-changes.c - configuration changes that a restore of the store has lost.
 */
#include "daemon/lost-changes.h"

#include "ragwort/log.h"
#include "ragwort/settings.h"

/* Whether a record is valid for all sites; logs why it is not. */
static bool check_rebased_record(struct rr_context *ctx,
				 const struct rr_config_record *record)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	bool valid = rr_check_config_record(record, diagnostics);

	if (!valid) {
		const struct rr_diagnostic *diagnostic =
			g_ptr_array_index(diagnostics, 0);

		rr_log(ctx, RR_LOG_ERROR, "config-not-rebased",
		       RR_FIELD_STRING("error", diagnostic->message),
		       RR_FIELD_STRING("file", diagnostic->file));
	}
	g_ptr_array_unref(diagnostics);
	return valid;
}

void rr_write_lost_changes(struct rr_context *ctx, struct rr_core *core,
			   const struct rr_config_record *stored,
			   uint64_t key_revision)
{
	struct rr_config_write_back write = {
		.key_revision = key_revision,
		.stored_revision = rr_config_record_revision(stored),
	};
	size_t length;
	const char *in_force = rr_core_config_record(core, &length);
	struct rr_config_record *record =
		in_force ? rr_decode_config_record(in_force, length, NULL) :
			   NULL;
	struct rr_config_record *rebased =
		record ? rr_rebase_config_record(record, stored) : NULL;
	char *text = NULL;

	if (rebased)
		write.record = text =
			rr_encode_config_record(rebased, &write.length);
	if (!rebased || check_rebased_record(ctx, rebased))
		rr_core_write_config_back(ctx, core, g_get_monotonic_time(),
					  &write);
	g_free(text);
	rr_drop_config_record(rebased);
	rr_drop_config_record(record);
}
