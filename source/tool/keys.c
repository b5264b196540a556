/*
 * keys.c - `ragwort keys new`: generates a key pair for peer links.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "tool/tool.h"

#define Z85_KEY_LENGTH 40
#define SECRET_MODE 0600

/*
 * Write a secret key to a new file.  O_EXCL and the mode given at creation
 * ensure that an existing key is never overwritten and that other users can at
 * no time read the new one.
 */
static bool write_secret(const struct rr_command *command, const char *name,
			 const char *secret)
{
	char line[Z85_KEY_LENGTH + 2];
	int fd = open(name, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
		      SECRET_MODE);
	ssize_t written;
	bool ok;

	if (fd < 0) {
		rr_print_message(command, "cannot create %s: %s", name,
				 strerror(errno));
		return false;
	}
	snprintf(line, sizeof(line), "%s\n", secret);
	written = write(fd, line, strlen(line));
	ok = written == (ssize_t)strlen(line) && !fsync(fd);
	ok = !close(fd) && ok;
	explicit_bzero(line, sizeof(line));
	if (!ok) {
		rr_print_message(command, "cannot write %s: %s", name,
				 strerror(errno));
		unlink(name);
	}
	return ok;
}

static int make_key_pair(const struct rr_command *command, const char *file)
{
	char public_key[Z85_KEY_LENGTH + 1];
	char secret_key[Z85_KEY_LENGTH + 1];
	int code = RR_EXIT_FAILED;

	if (zmq_curve_keypair(public_key, secret_key)) {
		rr_print_message(command, "cannot generate keys: %s",
				 zmq_strerror(errno));
		return RR_EXIT_FAILED;
	}
	if (write_secret(command, file, secret_key)) {
		printf("%s\n", public_key);
		code = RR_EXIT_OK;
	}
	explicit_bzero(secret_key, sizeof(secret_key));
	return code;
}

int rr_run_keys_new(const struct rr_command *command, int argc, char **argv)
{
	struct arg_file *secret =
		arg_file1(NULL, "secret-file", "FILE",
			  "file for the secret key; must not exist yet");
	struct rr_common_arguments common = rr_new_common_arguments();
	void *table[] = { secret, common.help, common.end };
	int code;

	if (rr_parse_arguments(command, table, &common, argc, argv, &code))
		code = make_key_pair(command, secret->filename[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
