/*
 * credentials.h - how the tool shows itself to instances: token and TLS.
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
	char *authorization;	   /* header; NULL: none */
	GTlsDatabase *ca_database; /* NULL: plain HTTP */
};

struct rr_credential_arguments rr_new_credential_arguments(void);
/* Read the files named; false after telling on stderr what is wrong. */
bool rr_load_credentials(const struct rr_command *command,
			 const struct rr_credential_arguments *arguments,
			 struct rr_credentials *access);
void rr_clear_credentials(struct rr_credentials *access);

#endif
