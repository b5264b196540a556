/*
 * gateway-private.h - inside of struct rr_gateway, and what its parts share.
 */
#ifndef RAGWORT_GATEWAY_PRIVATE_H
#define RAGWORT_GATEWAY_PRIVATE_H

#include "gateway/gateway.h"
#include "net/http-listener.h"
#include "net/poller.h"
#include "net/replica-client.h"
#include "platform/platform.h"
#include "ragwort/feed.h"
#include "ragwort/gate-names.h"
#include "ragwort/gate.h"
#include "ragwort/lifecycle.h"

/*
 * Between instances: time until a search that is handed over has to be
 * answered, in microseconds; and the promise that it was not run.
 */
#define FORWARD_DEADLINE_HEADER "Ragwort-Left-Us"
#define NOT_RUN_HEADER "Ragwort-Not-Run"
/* Between instances: the one that refuses is cut off from other zones. */
#define ISOLATED_HEADER "Ragwort-Cut-Off"

/* Ticks whatever is due. */
struct tick_source {
	GSource source; /* first: GLib allocates the whole */
	struct rr_gateway *gateway;
	int64_t due_us;
	int64_t iteration_started_us; /* when the turn under way began; 0: none has */
};

/* Another instance that waits for the store's news. */
struct watching_peer {
	struct rr_caller_conn *caller;
	struct rr_change_feed_request request;
	int64_t deadline_us;
};

/* A request that a caller waits for. */
struct open_request {
	struct rr_caller_conn *caller;
	bool from_peer; /* its caller is another instance */
	const struct rr_http_message *message;
	GString *head;
	const char *request_id;
};

struct rr_gateway {
	struct rr_context *ctx;
	const struct rr_gateway_settings *settings;
	const struct rr_gate_names *names;
	GMainLoop *loop;
	struct rr_poller *poller;
	struct tick_source *ticker;
	struct rr_gate *gate;
	struct rr_feed *feed;
	struct rr_http_listener *caller_listener;
	struct rr_http_listener *readiness_listener;
	struct rr_http_listener *metrics_listener;
	struct rr_http_listener
		*peer_listener; /* other instances that hand over */
	struct rr_replica_client *replica_client;
	struct rr_replica_client *store_client;
	struct rr_replica_client
		*coordinator_client; /* instances to hand over to */
	struct rr_lifecycle lifecycle;
	int64_t started_ms;   /* Unix time; told in this instance's entry */
	GHashTable *requests; /* gate's id -> struct open_request */
	struct open_request
		*submitting;	 /* being taken: its id is not known yet */
	GHashTable *store_calls; /* id -> struct open_call */
	GArray *watching_peers;	 /* struct watching_peer */
	int64_t log_flush_us;	 /* 0: no line waits */
	int64_t stop_check_us;
	bool was_ready;
	bool was_isolated;
	guint signal_sources[3];
};

int64_t rr_gateway_now_us(void);
/* Whether callers may come; else *reason (static) says why not. */
bool rr_gateway_is_ready(const struct rr_gateway *gateway, const char **reason);

/* gateway-callers.c: requests of callers and instances, and their answers */
struct rr_gate_actions rr_gateway_gate_actions(struct rr_gateway *gateway);
void rr_free_open_request(gpointer data);
void rr_handle_caller_request(void *data, struct rr_caller_conn *caller,
			      const struct rr_http_message *message);
void rr_handle_peer_request(void *data, struct rr_caller_conn *caller,
			    const struct rr_http_message *message);
void rr_handle_caller_half_close(void *data, struct rr_caller_conn *caller);
void rr_handle_caller_disconnect(void *data, struct rr_caller_conn *caller);
void rr_handle_readiness_request(void *data, struct rr_caller_conn *caller,
				 const struct rr_http_message *message);
void rr_handle_metrics_request(void *data, struct rr_caller_conn *caller,
			       const struct rr_http_message *message);

/* gateway-store.c: the feed's calls, and what it learns */
struct rr_feed_actions rr_gateway_feed_actions(struct rr_gateway *gateway);
void rr_handle_gateway_store_reply(void *data,
				   const struct rr_gate_reply *reply);

/* gateway-change-feed.c: the store's news for other instances */
void rr_handle_change_feed_request(struct rr_gateway *gateway,
				   struct rr_caller_conn *caller,
				   const struct rr_change_feed_request *call);
/* Another instance asks to be entered in the store, or leaves. */
void rr_handle_registration_request(struct rr_gateway *gateway,
				    struct rr_caller_conn *caller,
				    const struct rr_http_message *message);
/* Answer those who have waited long enough, or for whom there is news. */
void rr_answer_watching_peers(struct rr_gateway *gateway, int64_t now_us);
/* All who wait are told at once that this instance has been cut off. */
void rr_reject_watching_peers(struct rr_gateway *gateway);
int64_t rr_watching_peers_wake_us(const struct rr_gateway *gateway);
void rr_handle_peer_disconnect(void *data, struct rr_caller_conn *caller);

#endif
