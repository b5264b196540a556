/*
 * check-start.c - `ragwort check --start`: an instance's start file, with
 * warnings of what is allowed but seldom meant.
 */
#include <errno.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "net/address-private.h"
#include "tool/check.h"

int rr_report_check_result(const struct rr_command *command,
			   const GPtrArray *faults)
{
	rr_print_diagnostics(faults);
	if (!faults->len)
		return RR_EXIT_OK;
	rr_print_message(command,
			 "%u fault%s; mend the lines above and check again",
			 faults->len, faults->len == 1 ? "" : "s");
	return RR_EXIT_USAGE;
}

static bool is_loopback(const char *text)
{
	GSocketAddress *address = rr_parse_address(text, NULL);
	GInetAddress *host;
	bool loopback;

	if (!address)
		return false;
	host = g_inet_socket_address_get_address(
		G_INET_SOCKET_ADDRESS(address));
	loopback = g_inet_address_get_is_loopback(host);
	g_object_unref(address);
	return loopback;
}

static void warn_of_plain(const struct rr_start_settings *settings)
{
	if (!settings->tls_certificate_file &&
	    !is_loopback(settings->caller_address))
		fprintf(stderr,
			"warning: callers speak plain HTTP at %s, which is no "
			"loopback address: others can read requests%s; set "
			"'tls'\n",
			settings->caller_address,
			settings->caller_token_file ? " and tokens" : "");
	if (!settings->peer_public_key && !is_loopback(settings->peer_address))
		fprintf(stderr,
			"warning: peers speak without encryption at %s, which "
			"is no loopback address: anybody who reaches it can "
			"join; set 'curve'\n",
			settings->peer_address);
}

static void warn_of_file(const char *key, const char *name)
{
	GStatBuf status;

	if (!name)
		return;
	if (g_stat(name, &status))
		fprintf(stderr, "warning: %s: cannot look at %s: %s\n", key,
			name, g_strerror(errno));
	else if (status.st_mode & (S_IRWXG | S_IRWXO))
		fprintf(stderr,
			"warning: %s: others than its owner can use %s (mode "
			"%04o); set mode 0600\n",
			key, name, (unsigned int)(status.st_mode & 07777));
}

static void print_start(const struct rr_start_settings *settings)
{
	GString *restart = g_string_new(NULL);

	rr_format_restart_only_keys(restart);
	printf("ok: instance %s in zone %s of site %s\n", settings->instance,
	       settings->zone, settings->site);
	printf("a change needs a restart of the instance: %s\n", restart->str);
	printf("read again on SIGHUP: curve, and the files that tls and "
	       "caller_token_file name\n"
	       "log settings can be replaced without a restart by 'log' in "
	       "the operators' files\n");
	g_string_free(restart, TRUE);
}

int rr_check_start_file(const struct rr_command *command, const char *name)
{
	struct rr_settings_source file = { .file = name };
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_start_settings *settings;
	char *text = NULL;
	int code = RR_EXIT_USAGE;

	if (rr_read_file(command, file.file, &text, &file.length)) {
		file.text = text;
		settings = rr_parse_start_settings(&file, faults);
		if (settings) {
			print_start(settings);
			warn_of_plain(settings);
			warn_of_file("tls.key_file", settings->tls_key_file);
			warn_of_file("caller_token_file",
				     settings->caller_token_file);
			warn_of_file("curve.secret_key_file",
				     settings->peer_secret_key_file);
		}
		code = rr_report_check_result(command, faults);
		rr_drop_start_settings(settings);
	}
	g_free(text);
	g_ptr_array_unref(faults);
	return code;
}
