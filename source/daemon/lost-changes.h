/*
 * lost-changes.h - configuration changes that a restore of the store has lost.
 */
#ifndef RAGWORT_DAEMON_LOST_CHANGES_H
#define RAGWORT_DAEMON_LOST_CHANGES_H

#include "ragwort/core.h"
#include "ragwort/record.h"

/*
 * Handle a record in the store that is not newer than the one in force.  After a
 * restore from a copy it may have lost changes, and others may have been
 * accepted since: write the record in force back, with these changes on top.
 * Where they are not valid together, the store keeps its record, and an error is
 * logged.  `key_revision` is that of the record's key.
 */
void rr_write_lost_changes(struct rr_context *ctx, struct rr_core *core,
			   const struct rr_config_record *stored,
			   uint64_t key_revision);

#endif
