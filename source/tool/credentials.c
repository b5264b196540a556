/*
 * credentials.c - caller token and TLS certificate authority of the tool.
 */
#include "tool/credentials.h"

#include <string.h>

#include "tool/tool.h"

struct rr_credential_arguments rr_new_credential_arguments(void)
{
	struct rr_credential_arguments arguments = {
		.token_file = arg_file0(NULL, "token-file", "FILE",
					"caller token to send to instances"),
		.ca_file = arg_file0(NULL, "tls-ca", "FILE",
				     "use TLS; certificate authority of "
				     "the instances, in PEM"),
	};

	return arguments;
}

/* Read the first line of the file.  It is a secret: never print it. */
static bool load_token(const struct rr_command *command, const char *name,
		       struct rr_credentials *credentials)
{
	char *text;
	size_t length;

	if (!rr_read_file(command, name, &text, &length))
		return false;
	g_strdelimit(text, "\r\n", '\0');
	g_strstrip(text);
	if (*text)
		credentials->authorization = g_strconcat("Bearer ", text, NULL);
	else
		rr_print_message(command,
				 "%s: found no token on the first line", name);
	g_free(text);
	return credentials->authorization != NULL;
}

static bool load_ca_database(const struct rr_command *command, const char *name,
			     struct rr_credentials *credentials)
{
	char *path = g_canonicalize_filename(name, NULL);
	GError *error = NULL;

	credentials->ca_database = g_tls_file_database_new(path, &error);
	g_free(path);
	if (credentials->ca_database)
		return true;
	rr_print_message(command, "--tls-ca: %s", error->message);
	g_clear_error(&error);
	return false;
}

bool rr_load_credentials(const struct rr_command *command,
			 const struct rr_credential_arguments *arguments,
			 struct rr_credentials *credentials)
{
	bool ok = true;

	*credentials = (struct rr_credentials){ 0 };
	if (arguments->token_file->count)
		ok = load_token(command, arguments->token_file->filename[0],
				credentials);
	if (ok && arguments->ca_file->count)
		ok = load_ca_database(command, arguments->ca_file->filename[0],
				      credentials);
	if (!ok)
		rr_clear_credentials(credentials);
	return ok;
}

void rr_clear_credentials(struct rr_credentials *credentials)
{
	g_free(credentials->authorization);
	g_clear_object(&credentials->ca_database);
	*credentials = (struct rr_credentials){ 0 };
}
