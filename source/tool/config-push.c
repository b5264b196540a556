/*
 * config-push.c - `ragwort config push`: show what a file changes, then put
 * it in force at every site.
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
	struct rr_credential_arguments keys;
	struct rr_common_arguments common;
};

/* One push as the operator asked for it. */
struct push_request {
	const struct rr_command *command;
	const struct push_arguments *arguments;
	const char *platform;
	const char *name; /* RR_CONFIG_BASE_FILE or a site */
	char *text;	  /* NULL: remove the overlay */
	uint64_t base_revision;
	char *change_id;
	char **instances; /* to wait for; NULL: none */
	struct rr_credentials access;
};

static void show_site(const char *site, struct rr_config *old,
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
	       changes->len ? "; what changes:" : "; nothing changes");
	fputs(changes->str, stdout);
	g_string_free(changes, TRUE);
	rr_drop_config(old);
}

/*
 * The buckets that reservation ids are kept in follow from this number: with
 * another one an id is looked for under another key, is not found, and a
 * reservation that ran is run again.  So it is chosen once.
 */
static bool keeps_buckets(const struct push_request *request,
			  const struct rr_config *old,
			  const struct rr_config *new)
{
	if (!old || old->ledger_buckets == new->ledger_buckets)
		return true;
	rr_print_message(
		request->command,
		"ledger_buckets: found %u, accepted before is %u; it cannot "
		"be changed, because a reservation could run twice",
		new->ledger_buckets, old->ledger_buckets);
	return false;
}

static bool review_site(const struct push_request *request,
			const struct rr_config_record *old,
			const struct rr_config_record *new, const char *site,
			GPtrArray *faults)
{
	GPtrArray *ignored = rr_new_diagnostics();
	struct rr_config *before = NULL;
	struct rr_config *after = rr_build_site_config(new, site, faults);
	bool fine = after != NULL;

	if (rr_config_record_revision(old))
		before = rr_build_site_config(old, site, ignored);
	if (after) {
		fine = keeps_buckets(request, before, after);
		show_site(site, before, after);
	}
	rr_drop_config(before);
	rr_drop_config(after);
	g_ptr_array_unref(ignored);
	return fine;
}

/* A base may need what every overlay adds; a new site should know that. */
static void warn_of_base_alone(const struct push_request *request,
			       const struct rr_config_record *record)
{
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_config *config = rr_build_site_config(record, "", faults);

	if (!config)
		rr_print_message(
			request->command,
			"warning: the base is valid with the overlays only; a "
			"site without one could not run by it");
	rr_drop_config(config);
	g_ptr_array_unref(faults);
}

static bool review_sites(const struct push_request *request,
			 const struct rr_config_record *old,
			 const struct rr_config_record *new, GPtrArray *faults)
{
	char **sites = rr_list_overlay_sites(new);
	bool fine = true;

	/* Without any overlay every site runs by the base alone. */
	if (!sites[0])
		fine = review_site(request, old, new, "", faults);
	else
		warn_of_base_alone(request, new);
	for (size_t i = 0; sites[i]; i++) {
		if (!review_site(request, old, new, sites[i], faults))
			fine = false;
	}
	/* A site whose overlay goes runs by the base alone from now on. */
	if (!request->text &&
	    !review_site(request, old, new, request->name, faults))
		fine = false;
	g_strfreev(sites);
	return fine;
}

/* Show what each site will get; false when that cannot be put in force. */
static bool review(const struct push_request *request,
		   const struct rr_config_record *old)
{
	struct rr_config_record *new = rr_copy_config_record(old);
	GPtrArray *faults = rr_new_diagnostics();
	bool fine;

	rr_update_config_record(new, request->name, request->text,
				request->change_id, "", 0);
	fine = review_sites(request, old, new, faults);
	if (faults->len) {
		rr_print_diagnostics(faults);
		rr_print_message(
			request->command,
			"%u fault%s; nothing was pushed, mend the lines above "
			"and push again",
			faults->len, faults->len == 1 ? "" : "s");
	}
	g_ptr_array_unref(faults);
	rr_drop_config_record(new);
	return fine;
}

static void show_difference(const struct push_request *request,
			    const struct rr_config_record *record)
{
	GString *lines = g_string_new(NULL);

	rr_format_line_diff(rr_config_file_text(record, request->name),
			    request->text, lines);
	if (lines->len)
		printf("difference to the accepted %s, of revision "
		       "%" G_GUINT64_FORMAT ":\n%s",
		       request->name,
		       rr_config_file_revision(record, request->name),
		       lines->str);
	else
		printf("no difference to the accepted %s\n", request->name);
	g_string_free(lines, TRUE);
}

static void run_step(const char *platform, struct rr_context *ctx,
		     struct rr_push *push, const struct rr_push_step *step)
{
	struct rr_store_reply reply;
	char *body = NULL;
	char *why = NULL;

	if (step->action == RR_PUSH_WAIT) {
		g_usleep((gulong)step->wait_ms * 1000);
		return;
	}
	if (step->action == RR_PUSH_READ)
		rr_get_platform_key(platform, step->key, &reply, &body, &why);
	else
		rr_cas_platform_key(platform, step->key, step->revision,
				    step->value, step->length, &reply, &why);
	rr_handle_push_reply(ctx, push, &reply);
	g_free(body);
	g_free(why);
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
			"not accepted: %s; look at `ragwort config show` and "
			"`config history`, put your change into the new text "
			"and push again",
			message);
		return RR_EXIT_FAILED;
	case RR_PUSH_UNAVAILABLE:
		rr_print_message(request->command, "nothing was written: %s",
				 message);
		return RR_EXIT_UNREACHABLE;
	case RR_PUSH_UNRESOLVED:
		rr_print_message(
			request->command,
			"it may be in force or not: %s; push again with "
			"--change-id %s, it then takes effect once at most",
			message, request->change_id);
		return RR_EXIT_UNREACHABLE;
	default:
		rr_print_message(request->command, "nothing was written: %s",
				 message);
		return RR_EXIT_FAILED;
	}
}

static const char *find_author(const struct push_arguments *arguments)
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
		.author = find_author(request->arguments),
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
				    &request->access, revision, wait_s);
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
	show_difference(request, record);
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
				 "caller addresses to ask");
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
	       rr_load_credentials(request->command, &arguments->keys,
				   &request->access);
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
				 "%s holds a NUL character, allowed is text",
				 arguments->file->filename[0]);
	else
		code = review_and_push(&request);
done:
	rr_clear_credentials(&request.access);
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
				 "the file is this site's overlay (without: "
				 "the base)"),
		.author = arg_str0(NULL, "author", "NAME",
				   "for the history (default: user name)"),
		.revision = arg_int0(NULL, "revision", "N",
				     "revision the text was made from; refused "
				     "if the file changed since"),
		.change = arg_str0(NULL, "change-id", "ID",
				   "of a push that ended unsettled"),
		.remove = arg_lit0(NULL, "remove", "remove a site's overlay"),
		.dry_run = arg_lit0(NULL, "dry-run", "show, push nothing"),
		.wait = arg_lit0(NULL, "wait",
				 "wait until the instances have it in force"),
		.instances = arg_str0(NULL, "instances", "IP:PORT,...",
				      "caller addresses, for --wait"),
		.wait_s = arg_int0(NULL, "wait-s", "N",
				   "longest wait (default 30)"),
		.keys = rr_new_credential_arguments(),
		.common = rr_new_common_arguments(),
	};
	void *table[] = { arguments.platform,	  arguments.file,
			  arguments.site,	  arguments.author,
			  arguments.revision,	  arguments.change,
			  arguments.remove,	  arguments.dry_run,
			  arguments.wait,	  arguments.instances,
			  arguments.wait_s,	  arguments.keys.token_file,
			  arguments.keys.ca_file, arguments.common.help,
			  arguments.common.end };
	int code;

	if (rr_parse_arguments(command, table, &arguments.common, argc, argv,
			       &code))
		code = push(command, &arguments);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
