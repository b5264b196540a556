/*
 * credentials.c - how the tool shows itself to instances: token and TLS.
 */
#include "tool/credentials.h"

#include <string.h>

#include "tool/tool.h"

struct rr_credential_arguments rr_new_credential_arguments(void)
{
	struct rr_credential_arguments arguments = {
		.token_file = arg_file0(NULL, "token-file", "FILE",
					"the caller token that instances want"),
		.ca_file = arg_file0(NULL, "tls-ca", "FILE",
				     "speak TLS; who signed the instances' "
				     "certificates, in PEM"),
	};

	return arguments;
}

/* The first line of the file; never printed, it is a secret. */
static bool read_token(const struct rr_command *command, const char *name,
		       struct rr_credentials *access)
{
	char *text;
	size_t length;

	if (!rr_read_file(command, name, &text, &length))
		return false;
	g_strdelimit(text, "\r\n", '\0');
	g_strstrip(text);
	if (*text)
		access->authorization = g_strconcat("Bearer ", text, NULL);
	else
		rr_print_message(command,
				 "%s: found no token on the first line", name);
	g_free(text);
	return access->authorization != NULL;
}

static bool read_authority(const struct rr_command *command, const char *name,
			   struct rr_credentials *access)
{
	char *path = g_canonicalize_filename(name, NULL);
	GError *error = NULL;

	access->ca_database = g_tls_file_database_new(path, &error);
	g_free(path);
	if (access->ca_database)
		return true;
	rr_print_message(command, "--tls-ca: %s", error->message);
	g_clear_error(&error);
	return false;
}

bool rr_load_credentials(const struct rr_command *command,
			 const struct rr_credential_arguments *arguments,
			 struct rr_credentials *access)
{
	bool fine = true;

	*access = (struct rr_credentials){ 0 };
	if (arguments->token_file->count)
		fine = read_token(command, arguments->token_file->filename[0],
				  access);
	if (fine && arguments->ca_file->count)
		fine = read_authority(command, arguments->ca_file->filename[0],
				      access);
	if (!fine)
		rr_clear_credentials(access);
	return fine;
}

void rr_clear_credentials(struct rr_credentials *access)
{
	g_free(access->authorization);
	g_clear_object(&access->ca_database);
	*access = (struct rr_credentials){ 0 };
}
