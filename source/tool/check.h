/*
 * check.h - functions shared by the parts of `ragwort check`.
 */
#ifndef TOOL_CHECK_H
#define TOOL_CHECK_H

#include "tool/tool.h"

/* Print the diagnostics and their number; return the exit code. */
int rr_report_check_result(const struct rr_command *command,
			   const GPtrArray *diagnostics);
/* Validate an instance's start file; return the exit code. */
int rr_check_start_file(const struct rr_command *command, const char *name);

#endif
