/*
 * check-start.c - `ragwort check --start`: validates an instance's start file.
 *
 * It also warns of settings that are valid but rarely intended, such as plain
 * HTTP on an address that is not loopback.
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
			   const GPtrArray *diagnostics)
{
	rr_print_diagnostics(diagnostics);
	if (!diagnostics->len)
		return RR_EXIT_OK;
	rr_print_message(command,
			 "%u error%s; correct the lines above and check again",
			 diagnostics->len, diagnostics->len == 1 ? "" : "s");
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

static void warn_unencrypted(const struct rr_start_settings *settings)
{
	if (!settings->tls_certificate_file &&
	    !is_loopback(settings->caller_address))
		fprintf(stderr,
			"warning: callers use plain HTTP at %s, which is not a "
			"loopback address: others can read requests%s; set "
			"'tls'\n",
			settings->caller_address,
			settings->caller_token_file ? " and tokens" : "");
	if (!settings->peer_public_key && !is_loopback(settings->peer_address))
		fprintf(stderr,
			"warning: peer links at %s are not encrypted, and it "
			"is not a loopback address: anyone who can reach it "
			"can join; set 'curve'\n",
			settings->peer_address);
}

static void warn_file_mode(const char *key, const char *name)
{
	GStatBuf status;

	if (!name)
		return;
	if (g_stat(name, &status))
		fprintf(stderr, "warning: %s: cannot stat %s: %s\n", key, name,
			g_strerror(errno));
	else if (status.st_mode & (S_IRWXG | S_IRWXO))
		fprintf(stderr,
			"warning: %s: users other than its owner can access %s "
			"(mode %04o); set mode 0600\n",
			key, name, (unsigned int)(status.st_mode & 07777));
}

static void print_start_settings(const struct rr_start_settings *settings)
{
	GString *restart_keys = g_string_new(NULL);

	rr_format_restart_only_keys(restart_keys);
	printf("ok: instance %s in zone %s of site %s\n", settings->instance,
	       settings->zone, settings->site);
	printf("changes that need a restart of the instance: %s\n",
	       restart_keys->str);
	printf("reloaded on SIGHUP: curve, and the files named by tls and "
	       "caller_token_file\n"
	       "log settings can be overridden without a restart by 'log' in "
	       "the pushed configuration\n");
	g_string_free(restart_keys, TRUE);
}

int rr_check_start_file(const struct rr_command *command, const char *name)
{
	struct rr_settings_source file = { .file = name };
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_start_settings *settings;
	char *text = NULL;
	int code = RR_EXIT_USAGE;

	if (rr_read_file(command, file.file, &text, &file.length)) {
		file.text = text;
		settings = rr_parse_start_settings(&file, diagnostics);
		if (settings) {
			print_start_settings(settings);
			warn_unencrypted(settings);
			warn_file_mode("tls.key_file", settings->tls_key_file);
			warn_file_mode("caller_token_file",
				       settings->caller_token_file);
			warn_file_mode("curve.secret_key_file",
				       settings->peer_secret_key_file);
		}
		code = rr_report_check_result(command, diagnostics);
		rr_drop_start_settings(settings);
	}
	g_free(text);
	g_ptr_array_unref(diagnostics);
	return code;
}
