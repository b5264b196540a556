/*
 * credentials.h - caller token and TLS certificate authority of the tool.
 */
#ifndef TOOL_CREDENTIALS_H
#define TOOL_CREDENTIALS_H

#include <argtable2.h>
#include <gio/gio.h>
#include <stdbool.h>

struct rr_command;

struct rr_credential_arguments {
	struct arg_file *token_file;
	struct arg_file *ca_file;
};

struct rr_credentials {
	char *authorization;	   /* header value; NULL for no token */
	GTlsDatabase *ca_database; /* NULL for plain HTTP */
};

struct rr_credential_arguments rr_new_credential_arguments(void);
/*
 * Load the files named in the arguments.  On failure, print the error on
 * stderr and return false with *credentials empty.  Release with
 * rr_clear_credentials().
 */
bool rr_load_credentials(const struct rr_command *command,
			 const struct rr_credential_arguments *arguments,
			 struct rr_credentials *credentials);
void rr_clear_credentials(struct rr_credentials *credentials);

#endif
