/*
 * config-push.c - `ragwort config push`: prints the effect of a changed file
 * and pushes it.
 */
#include <stdio.h>
#include <string.h>

#include "ragwort/push.h"
#include "ragwort/record.h"
#include "tool/credentials.h"
#include "tool/line-diff.h"
#include "tool/instances.h"
#include "tool/platform.h"
#include "tool/tool.h"

#define DEFAULT_WAIT_S 30

struct push_arguments {
	struct arg_str *platform;
	struct arg_file *file;
	struct arg_str *site;
	struct arg_str *author;
	struct arg_int *revision;
	struct arg_str *change;
	struct arg_lit *remove;
	struct arg_lit *dry_run;
	struct arg_lit *wait;
	struct arg_str *instances;
	struct arg_int *wait_s;
	struct rr_credential_arguments credential_options;
	struct rr_common_arguments common;
};

/* Parsed command line of a push. */
struct push_request {
	const struct rr_command *command;
	const struct push_arguments *arguments;
	const char *platform;
	const char *name; /* RR_CONFIG_BASE_FILE, or the site of an overlay */
	char *text;	  /* NULL to remove the overlay */
	uint64_t base_revision;
	char *change_id;
	char **instances; /* to wait for; NULL not to wait */
	struct rr_credentials credentials;
};

static void print_site_changes(const char *site, struct rr_config *old,
			       const struct rr_config *new)
{
	GString *changes = g_string_new(NULL);
	size_t shards = 0;

	for (size_t i = 0; i < new->n_services; i++)
		shards += new->services[i].n_shards;
	if (!old)
		old = rr_new_config();
	else
		rr_keep_config(old);
	rr_format_config_diff(old, new, changes);
	printf("%s%s will have %zu services with %zu shards%s\n",
	       *site ? "site " : "every site", site, new->n_services, shards,
	       changes->len ? "; changes:" : "; no changes");
	fputs(changes->str, stdout);
	g_string_free(changes, TRUE);
	rr_drop_config(old);
}

/*
 * The ledger key of a reservation id depends on the number of buckets.  After a
 * change an id would be looked up under another key and not be found, and a
 * reservation that has run would run again.  So the number must not change.
 */
static bool check_ledger_buckets(const struct push_request *request,
				 const struct rr_config *old,
				 const struct rr_config *new)
{
	if (!old || old->ledger_buckets == new->ledger_buckets)
		return true;
	rr_print_message(
		request->command,
		"ledger_buckets: found %u, the accepted value is %u; it cannot "
		"be changed, because a reservation could run twice",
		new->ledger_buckets, old->ledger_buckets);
	return false;
}

static bool review_site(const struct push_request *request,
			const struct rr_config_record *old,
			const struct rr_config_record *new, const char *site,
			GPtrArray *diagnostics)
{
	GPtrArray *ignored = rr_new_diagnostics();
	struct rr_config *before = NULL;
	struct rr_config *after = rr_build_site_config(new, site, diagnostics);
	bool ok = after != NULL;

	if (rr_config_record_revision(old))
		before = rr_build_site_config(old, site, ignored);
	if (after) {
		ok = check_ledger_buckets(request, before, after);
		print_site_changes(site, before, after);
	}
	rr_drop_config(before);
	rr_drop_config(after);
	g_ptr_array_unref(ignored);
	return ok;
}

/*
 * A base file may be invalid without the settings that all overlays add.  Warn,
 * since a new site without an overlay could not use it.
 */
static void warn_if_base_incomplete(const struct push_request *request,
				    const struct rr_config_record *record)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_config *config =
		rr_build_site_config(record, "", diagnostics);

	if (!config)
		rr_print_message(
			request->command,
			"warning: the base file is valid only with the "
			"overlays; a site without one cannot use it");
	rr_drop_config(config);
	g_ptr_array_unref(diagnostics);
}

static bool review_sites(const struct push_request *request,
			 const struct rr_config_record *old,
			 const struct rr_config_record *new,
			 GPtrArray *diagnostics)
{
	char **sites = rr_list_overlay_sites(new);
	bool ok = true;

	/* Without overlays all sites use the base file alone. */
	if (!sites[0])
		ok = review_site(request, old, new, "", diagnostics);
	else
		warn_if_base_incomplete(request, new);
	for (size_t i = 0; sites[i]; i++) {
		if (!review_site(request, old, new, sites[i], diagnostics))
			ok = false;
	}
	/* A site whose overlay is removed uses the base file alone. */
	if (!request->text &&
	    !review_site(request, old, new, request->name, diagnostics))
		ok = false;
	g_strfreev(sites);
	return ok;
}

/* Print the changes of each site; return false if one is invalid. */
static bool review(const struct push_request *request,
		   const struct rr_config_record *old)
{
	struct rr_config_record *new = rr_copy_config_record(old);
	GPtrArray *diagnostics = rr_new_diagnostics();
	bool ok;

	rr_update_config_record(new, request->name, request->text,
				request->change_id, "", 0);
	ok = review_sites(request, old, new, diagnostics);
	if (diagnostics->len) {
		rr_print_diagnostics(diagnostics);
		rr_print_message(
			request->command,
			"%u error%s; nothing was pushed, correct the lines above "
			"and push again",
			diagnostics->len, diagnostics->len == 1 ? "" : "s");
	}
	g_ptr_array_unref(diagnostics);
	rr_drop_config_record(new);
	return ok;
}

static void print_text_diff(const struct push_request *request,
			    const struct rr_config_record *record)
{
	GString *lines = g_string_new(NULL);

	rr_format_line_diff(rr_config_file_text(record, request->name),
			    request->text, lines);
	if (lines->len)
		printf("difference from the accepted %s, of revision "
		       "%" G_GUINT64_FORMAT ":\n%s",
		       request->name,
		       rr_config_file_revision(record, request->name),
		       lines->str);
	else
		printf("no difference from the accepted %s\n", request->name);
	g_string_free(lines, TRUE);
}

static void run_step(const char *platform, struct rr_context *ctx,
		     struct rr_push *push, const struct rr_push_step *step)
{
	struct rr_store_reply reply;
	char *body = NULL;
	char *reason = NULL;

	if (step->action == RR_PUSH_WAIT) {
		g_usleep((gulong)step->wait_ms * 1000);
		return;
	}
	if (step->action == RR_PUSH_READ)
		rr_get_platform_key(platform, step->key, &reply, &body,
				    &reason);
	else
		rr_cas_platform_key(platform, step->key, step->revision,
				    step->value, step->length, &reply, &reason);
	rr_handle_push_reply(ctx, push, &reply);
	g_free(body);
	g_free(reason);
}

static int report(const struct push_request *request,
		  const struct rr_push_result *result)
{
	const char *message = result->message ? result->message : "";

	switch (result->status) {
	case RR_PUSH_ACCEPTED:
		printf("accepted as revision %" G_GUINT64_FORMAT "\n",
		       result->revision);
		return RR_EXIT_OK;
	case RR_PUSH_INVALID:
		rr_print_diagnostics(result->diagnostics);
		rr_print_message(request->command, "not accepted: %s", message);
		return RR_EXIT_USAGE;
	case RR_PUSH_CONFLICT:
		rr_print_message(
			request->command,
			"not accepted: %s; see `ragwort config show` and "
			"`config history`, apply your change to the current "
			"text and push again",
			message);
		return RR_EXIT_FAILED;
	case RR_PUSH_UNAVAILABLE:
		rr_print_message(request->command, "nothing was written: %s",
				 message);
		return RR_EXIT_UNREACHABLE;
	case RR_PUSH_UNRESOLVED:
		rr_print_message(
			request->command,
			"the push may or may not have taken effect: %s; push "
			"again with --change-id %s, so that it takes effect "
			"at most once",
			message, request->change_id);
		return RR_EXIT_UNREACHABLE;
	default:
		rr_print_message(request->command, "nothing was written: %s",
				 message);
		return RR_EXIT_FAILED;
	}
}

static const char *author_name(const struct push_arguments *arguments)
{
	if (arguments->author->count)
		return arguments->author->sval[0];
	return g_get_user_name();
}

static int push_file(const struct push_request *request, uint64_t *revision)
{
	struct rr_push_options options = {
		.file = request->name,
		.text = request->text,
		.base_revision = request->base_revision,
		.change_id = request->change_id,
		.is_retry = request->arguments->change->count > 0,
		.author = author_name(request->arguments),
		.when_s = g_get_real_time() / G_USEC_PER_SEC,
	};
	struct rr_context_options context = { .seed = g_random_int() };
	struct rr_context *ctx = rr_new_context(&context);
	struct rr_push *push = rr_new_push(ctx, &options);
	const struct rr_push_result *result;
	struct rr_push_step step;
	int code;

	while (!rr_push_step(push, &step))
		run_step(request->platform, ctx, push, &step);
	result = rr_push_result(push);
	*revision = result->revision;
	code = report(request, result);
	rr_drop_push(push);
	rr_drop_context(ctx);
	return code;
}

static int push_and_wait(const struct push_request *request)
{
	const struct push_arguments *arguments = request->arguments;
	uint32_t wait_s = DEFAULT_WAIT_S;
	uint64_t revision;
	int code = push_file(request, &revision);

	if (code != RR_EXIT_OK || !request->instances)
		return code;
	if (arguments->wait_s->count)
		wait_s = (uint32_t)MAX(arguments->wait_s->ival[0], 0);
	return rr_wait_for_revision(request->command, request->instances,
				    &request->credentials, revision, wait_s);
}

static int review_and_push(struct push_request *request)
{
	int code = RR_EXIT_USAGE;
	struct rr_config_record *record = rr_read_config_record(
		request->command, request->platform, &code);

	if (!record)
		return code;
	request->base_revision = rr_config_file_revision(record, request->name);
	if (request->arguments->revision->count)
		request->base_revision =
			(uint64_t)request->arguments->revision->ival[0];
	print_text_diff(request, record);
	if (!review(request, record))
		code = RR_EXIT_USAGE;
	else if (request->arguments->dry_run->count)
		code = RR_EXIT_OK;
	else
		code = push_and_wait(request);
	rr_drop_config_record(record);
	return code;
}

static bool check_arguments(struct push_request *request)
{
	const struct push_arguments *arguments = request->arguments;
	GError *error = NULL;

	if (arguments->remove->count && !arguments->site->count) {
		rr_print_message(request->command,
				 "--remove needs --site: only an "
				 "overlay can be removed");
		return false;
	}
	if (!arguments->remove->count == !arguments->file->count) {
		rr_print_message(request->command,
				 "give either --file or --remove");
		return false;
	}
	if (arguments->wait->count && !arguments->instances->count) {
		rr_print_message(request->command,
				 "--wait needs --instances, the "
				 "caller addresses to poll");
		return false;
	}
	if (!rr_check_config_file_name(request->name, &error)) {
		rr_print_message(request->command, "--site: %s",
				 error->message);
		g_clear_error(&error);
		return false;
	}
	if (!arguments->wait->count)
		return true;
	request->instances = rr_parse_address_list(
		request->command, arguments->instances->sval[0]);
	return request->instances &&
	       rr_load_credentials(request->command,
				   &arguments->credential_options,
				   &request->credentials);
}

static int push(const struct rr_command *command,
		const struct push_arguments *arguments)
{
	struct push_request request = {
		.command = command,
		.arguments = arguments,
		.platform = arguments->platform->sval[0],
		.name = arguments->site->count ? arguments->site->sval[0] :
						 RR_CONFIG_BASE_FILE,
	};
	int code = RR_EXIT_USAGE;
	size_t length = 0;

	if (!check_arguments(&request))
		goto done;
	if (arguments->file->count &&
	    !rr_read_file(command, arguments->file->filename[0], &request.text,
			  &length))
		goto done;
	if (arguments->change->count)
		request.change_id = g_strdup(arguments->change->sval[0]);
	else
		request.change_id = g_uuid_string_random();
	if (request.text && strlen(request.text) != length)
		rr_print_message(command,
				 "%s contains a NUL character, expected text",
				 arguments->file->filename[0]);
	else
		code = review_and_push(&request);
done:
	rr_clear_credentials(&request.credentials);
	g_strfreev(request.instances);
	g_free(request.change_id);
	g_free(request.text);
	return code;
}

int rr_run_config_push(const struct rr_command *command, int argc, char **argv)
{
	struct push_arguments arguments = {
		.platform = arg_str1(NULL, "platform", "IP:PORT",
				     "the platform's key-value service"),
		.file = arg_file0(NULL, "file", "FILE", "the new text"),
		.site = arg_str0(NULL, "site", "NAME",
				 "the file is this site's overlay (default: "
				 "the base file)"),
		.author =
			arg_str0(NULL, "author", "NAME",
				 "author in the history (default: user name)"),
		.revision = arg_int0(NULL, "revision", "N",
				     "revision the text is based on; rejected "
				     "if the file has changed since"),
		.change = arg_str0(NULL, "change-id", "ID",
				   "change id of an earlier push whose outcome "
				   "is unknown"),
		.remove = arg_lit0(NULL, "remove", "remove a site's overlay"),
		.dry_run = arg_lit0(NULL, "dry-run",
				    "print the changes, push nothing"),
		.wait = arg_lit0(NULL, "wait",
				 "wait until the instances have applied it"),
		.instances = arg_str0(NULL, "instances", "IP:PORT,...",
				      "caller addresses, for --wait"),
		.wait_s = arg_int0(NULL, "wait-s", "N",
				   "seconds to wait at most (default 30)"),
		.credential_options = rr_new_credential_arguments(),
		.common = rr_new_common_arguments(),
	};
	void *table[] = { arguments.platform,
			  arguments.file,
			  arguments.site,
			  arguments.author,
			  arguments.revision,
			  arguments.change,
			  arguments.remove,
			  arguments.dry_run,
			  arguments.wait,
			  arguments.instances,
			  arguments.wait_s,
			  arguments.credential_options.token_file,
			  arguments.credential_options.ca_file,
			  arguments.common.help,
			  arguments.common.end };
	int code;

	if (rr_parse_arguments(command, table, &arguments.common, argc, argv,
			       &code))
		code = push(command, &arguments);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
