/*
 * net-peer-keys.c - CURVE keys, and authentication of connecting peers (ZAP,
 * RFC 27) on the same main loop.
 */
#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "net/net-peer-private.h"
#include "ragwort/counters.h"
#include "ragwort/error.h"
#include "ragwort/log.h"

#define Z85_KEY_LENGTH 40
#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "ragwort"
/*
 * Frames of a ZAP request: version, id, domain, address, identity, mechanism,
 * credentials.
 */
#define ZAP_FRAMES 7
#define ZAP_ID_FRAME 1
#define ZAP_MECHANISM_FRAME 5
#define ZAP_KEY_FRAME 6

static bool parse_key(const char *text, const char *what, uint8_t *key,
		      GError **error)
{
	if (text && strlen(text) == Z85_KEY_LENGTH && zmq_z85_decode(key, text))
		return true;
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
		    "%s: expected a CURVE key of 40 characters in Z85", what);
	return false;
}

bool rr_parse_peer_keys(const struct rr_peer_keys *config,
			struct peer_keys *keys, GError **error)
{
	memset(keys, 0, sizeof(*keys));
	if (!parse_key(config->public_key, "public key", keys->public_key,
		       error) ||
	    !parse_key(config->secret_key, "secret key", keys->secret_key,
		       error))
		return false;
	for (size_t i = 0; config->allowed_keys && config->allowed_keys[i];
	     i++) {
		if (i >= RR_MAX_ALLOWED_KEYS) {
			g_set_error(error, RR_ERROR, RR_ERROR_OUT_OF_RANGE,
				    "more than %d allowed keys",
				    RR_MAX_ALLOWED_KEYS);
			return false;
		}
		if (!parse_key(config->allowed_keys[i], "allowed key",
			       keys->allowed[i], error))
			return false;
		keys->n_allowed++;
	}
	if (!keys->n_allowed) {
		g_set_error(error, RR_ERROR, RR_ERROR_OUT_OF_RANGE,
			    "no allowed key: 1 to %d are needed",
			    RR_MAX_ALLOWED_KEYS);
		return false;
	}
	keys->configured = true;
	return true;
}

static void set_key_pair(void *socket, const struct peer_keys *keys)
{
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
		       RR_CURVE_KEY_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
		       RR_CURVE_KEY_BYTES);
}

void rr_set_server_keys(void *socket, const struct peer_keys *keys)
{
	if (!keys->configured)
		return;
	rr_set_zmq_int_option(socket, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN));
	set_key_pair(socket, keys);
}

void rr_set_client_keys(void *socket, const struct peer_keys *keys,
			uint32_t key_index)
{
	if (!keys->configured)
		return;
	set_key_pair(socket, keys);
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY,
		       keys->allowed[key_index % keys->n_allowed],
		       RR_CURVE_KEY_BYTES);
}

static bool is_key_allowed(const struct peer_keys *keys, const void *key,
			   size_t length)
{
	if (length != RR_CURVE_KEY_BYTES)
		return false;
	for (uint32_t i = 0; i < keys->n_allowed; i++) {
		if (!memcmp(keys->allowed[i], key, RR_CURVE_KEY_BYTES))
			return true;
	}
	return false;
}

static void send_frame(void *zap, const void *data, size_t length, int more)
{
	zmq_send(zap, data, length, more | ZMQ_DONTWAIT);
}

bool rr_is_peer_key_allowed(const struct peer_keys *keys, const uint8_t *key)
{
	return is_key_allowed(keys, key, RR_CURVE_KEY_BYTES);
}

bool rr_are_keys_still_allowed(const struct peer_keys *old_keys,
			       const struct peer_keys *new_keys)
{
	for (uint32_t i = 0; i < old_keys->n_allowed; i++) {
		if (!is_key_allowed(new_keys, old_keys->allowed[i],
				    RR_CURVE_KEY_BYTES))
			return false;
	}
	return true;
}

/*
 * Checks the key of a message's sender again, once any allowed key has been
 * removed. ZAP checks a key only when a peer connects, so a peer whose key was
 * removed could continue on a connection made before. libzmq attaches the user
 * id of the ZAP reply, which is the key, to every message of the connection.
 */
bool rr_is_sender_allowed(struct rr_peer_transport *transport,
			  zmq_msg_t *message)
{
	const char *text;
	uint8_t key[RR_CURVE_KEY_BYTES];

	if (!transport->keys_removed)
		return true;
	text = zmq_msg_gets(message, "User-Id");
	return text && strlen(text) == Z85_KEY_LENGTH &&
	       zmq_z85_decode(key, text) &&
	       is_key_allowed(&transport->keys, key, sizeof(key));
}

void rr_log_rejected_peer(struct rr_peer_transport *transport)
{
	rr_count(transport->ctx, RR_N_PEER_AUTH_FAILURES, 1);
	rr_log(transport->ctx, RR_LOG_WARNING, "peer_refused",
	       RR_FIELD_STRING("reason", "its key is not allowed"));
}

static void send_zap_reply(struct rr_peer_transport *transport, zmq_msg_t *id,
			   bool allowed, zmq_msg_t *key)
{
	const char *status = allowed ? "200" : "400";
	char text[Z85_KEY_LENGTH + 1] = "";

	send_frame(transport->zap_socket, "1.0", 3, ZMQ_SNDMORE);
	send_frame(transport->zap_socket, zmq_msg_data(id), zmq_msg_size(id),
		   ZMQ_SNDMORE);
	send_frame(transport->zap_socket, status, 3, ZMQ_SNDMORE);
	send_frame(transport->zap_socket, "", 0, ZMQ_SNDMORE);
	if (allowed)
		zmq_z85_encode(text, zmq_msg_data(key), zmq_msg_size(key));
	send_frame(transport->zap_socket, text, strlen(text), ZMQ_SNDMORE);
	send_frame(transport->zap_socket, "", 0, 0);
	if (!allowed)
		rr_log_rejected_peer(transport);
}

static bool is_curve(zmq_msg_t *mechanism)
{
	return zmq_msg_size(mechanism) == 5 &&
	       !memcmp(zmq_msg_data(mechanism), "CURVE", 5);
}

/* Reads and answers one ZAP request; returns false when none is waiting. */
static bool answer_zap_request(struct rr_peer_transport *transport)
{
	zmq_msg_t frames[ZAP_FRAMES];
	int n = 0;
	bool more = true;
	bool allowed;

	for (n = 0; n < ZAP_FRAMES && more; n++) {
		zmq_msg_init(&frames[n]);
		if (zmq_msg_recv(&frames[n], transport->zap_socket,
				 ZMQ_DONTWAIT) < 0)
			break;
		more = zmq_msg_more(&frames[n]);
	}
	if (n == 0) {
		zmq_msg_close(&frames[0]);
		return false;
	}
	allowed = n == ZAP_FRAMES && is_curve(&frames[ZAP_MECHANISM_FRAME]) &&
		  is_key_allowed(&transport->keys,
				 zmq_msg_data(&frames[ZAP_KEY_FRAME]),
				 zmq_msg_size(&frames[ZAP_KEY_FRAME]));
	if (n > ZAP_ID_FRAME)
		send_zap_reply(transport, &frames[ZAP_ID_FRAME], allowed,
			       &frames[ZAP_KEY_FRAME]);
	for (int i = 0; i < n; i++)
		zmq_msg_close(&frames[i]);
	return true;
}

static gboolean on_zap_readable(void *data)
{
	struct rr_peer_transport *transport = data;

	while (rr_get_zmq_events(transport->zap_socket) & ZMQ_POLLIN) {
		if (!answer_zap_request(transport))
			break;
	}
	return G_SOURCE_CONTINUE;
}

bool rr_start_zap_handler(struct rr_peer_transport *transport, GError **error)
{
	transport->zap_socket = zmq_socket(transport->zmq, ZMQ_REP);
	if (!transport->zap_socket ||
	    zmq_bind(transport->zap_socket, ZAP_ADDRESS)) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYSTEM,
			    "cannot check peers' keys: %s",
			    zmq_strerror(errno));
		return false;
	}
	rr_set_zmq_int_option(transport->zap_socket, ZMQ_LINGER, 0);
	transport->zap_source = rr_watch_zmq_socket(transport->zap_socket,
						    on_zap_readable, transport);
	return true;
}
