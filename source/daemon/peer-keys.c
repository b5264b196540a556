/*
 * peer-keys.c - CURVE keys for peer connections.
 */
#include <string.h>

#include "daemon/daemon.h"

bool rr_read_peer_keys(const struct rr_start_settings *settings,
		       struct rr_peer_keys *keys, char **secret_key,
		       GError **error)
{
	*secret_key = NULL;
	if (!settings->peer_public_key)
		return true;
	if (settings->peer_secret_key_file &&
	    !g_file_get_contents(settings->peer_secret_key_file, secret_key,
				 NULL, error))
		return false;
	if (*secret_key)
		g_strstrip(*secret_key);
	keys->public_key = settings->peer_public_key;
	keys->secret_key = *secret_key;
	keys->allowed_keys = (const char *const *)settings->peer_allowed_keys;
	return true;
}

void rr_wipe_secret_key(char *secret_key)
{
	if (secret_key)
		memset(secret_key, 0, strlen(secret_key));
	g_free(secret_key);
}
