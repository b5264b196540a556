/*
 * gateway-private.h - struct rr_gateway and declarations shared by its files.
 */
#ifndef RAGWORT_GATEWAY_PRIVATE_H
#define RAGWORT_GATEWAY_PRIVATE_H

#include "gateway/gateway.h"
#include "net/http-listener.h"
#include "net/memory-budget.h"
#include "net/poller.h"
#include "net/replica-client.h"
#include "platform/platform.h"
#include "ragwort/feed.h"
#include "ragwort/gate-names.h"
#include "ragwort/gate.h"
#include "ragwort/lifecycle.h"

/*
 * Between instances: time until a forwarded request has to be answered, in
 * microseconds; and, in a reply, the guarantee that it was not executed.
 */
#define FORWARD_DEADLINE_HEADER "Ragwort-Left-Us"
#define NOT_RUN_HEADER "Ragwort-Not-Run"
/*
 * Header between instances: the instance that rejected the request is isolated
 * from the other zones.
 */
#define ISOLATED_HEADER "Ragwort-Cut-Off"
/* How long ago the instance knew all changes of the store, milliseconds. */
#define CHANGES_AGE_HEADER "Ragwort-Changes-Age-Ms"

/* Main loop source that runs all timers of the gateway. */
struct tick_source {
	GSource source; /* first: GLib allocates the struct */
	struct rr_gateway *gateway;
	int64_t due_us;
	int64_t iteration_started_us; /* of the main loop; 0 before the first */
};

/* Another instance that waits for changes of the store. */
struct watching_peer {
	struct rr_caller_conn *caller;
	struct rr_change_feed_request request;
	int64_t deadline_us; /* end of the wait */
};

/* Another instance whose allowance call has not been replied to. */
struct allowance_caller {
	uint64_t handle;
	struct rr_caller_conn *caller;
};

/* A request that has not been answered yet. */
struct open_request {
	struct rr_caller_conn *caller;
	bool from_peer; /* sent by another instance */
	const struct rr_http_message *message;
	/* Request line and headers that all attempts have in common. */
	GString *head;
	const char *request_id;
};

struct rr_gateway {
	struct rr_context *ctx;
	const struct rr_gateway_settings *settings;
	const struct rr_gate_names *names;
	GMainLoop *loop;
	struct rr_poller *poller;
	struct rr_memory_budget *memory;
	struct tick_source *ticker;
	struct rr_gate *gate;
	struct rr_feed *feed;
	struct rr_http_listener *caller_listener;
	struct rr_http_listener *readiness_listener;
	struct rr_http_listener *metrics_listener;
	struct rr_http_listener
		*peer_listener; /* for requests of other instances */
	struct rr_replica_client *replica_client;
	struct rr_replica_client *store_client;
	struct rr_replica_client
		*coordinator_client; /* instances to forward to */
	struct rr_replica_client
		*allowance_client; /* instances that keep allowances */
	GArray *allowance_callers; /* struct allowance_caller */
	uint64_t next_allowance_handle;
	struct rr_lifecycle lifecycle;
	int64_t started_ms;   /* Unix time, for this instance's entry */
	GHashTable *requests; /* id in the gate -> struct open_request */
	struct open_request
		*submitting;	 /* in rr_gate_submit(): has no id yet */
	GHashTable *store_calls; /* id -> struct open_call */
	GArray *watching_peers;	 /* struct watching_peer */
	int64_t log_flush_us;	 /* 0: no flush scheduled */
	int64_t stop_check_us;	 /* next check_stop(), while stopping */
	bool was_ready;
	bool was_isolated;
	guint signal_sources[3];
};

int64_t rr_gateway_now_us(void);
/*
 * Whether callers may send requests here; if not, *reason is set to a static
 * string.
 */
bool rr_gateway_is_ready(const struct rr_gateway *gateway, const char **reason);

/* gateway-callers.c: requests of callers and other instances */
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

/* gateway-store.c: the feed's calls and the changes that it reports */
struct rr_feed_actions rr_gateway_feed_actions(struct rr_gateway *gateway);
void rr_handle_gateway_store_reply(void *data,
				   const struct rr_gate_reply *reply);
void rr_handle_store_disconnect(void *data, const char *endpoint);

/* gateway-allowance.c: calls between instances for accounts' allowances */
void rr_call_allowance(void *data, uint64_t id, const char *address,
		       uint32_t timeout_ms,
		       const struct rr_allowance_call *call);
void rr_reply_allowance(void *data, uint64_t handle,
			const struct rr_allowance_reply *reply);
void rr_handle_allowance_reply(void *data, const struct rr_gate_reply *reply);
bool rr_is_allowance_request(const struct rr_http_message *message);
void rr_handle_allowance_request(struct rr_gateway *gateway,
				 struct rr_caller_conn *caller,
				 const struct rr_http_message *message);
/* Drop the call of a disconnected instance; false if it made none. */
bool rr_drop_allowance_caller(struct rr_gateway *gateway,
			      const struct rr_caller_conn *caller);

/* gateway-change-feed.c: store changes for other instances */
void rr_handle_change_feed_request(
	struct rr_gateway *gateway, struct rr_caller_conn *caller,
	const struct rr_change_feed_request *request);
/*
 * Handle another instance's request to write entries of instances to the store
 * or to remove them.
 */
void rr_handle_registration_request(struct rr_gateway *gateway,
				    struct rr_caller_conn *caller,
				    const struct rr_http_message *message);
/* Answer watching peers whose wait has ended or that have changes to get. */
void rr_answer_watching_peers(struct rr_gateway *gateway, int64_t now_us);
/* Reject all watching peers at once, as this instance has been isolated. */
void rr_reject_watching_peers(struct rr_gateway *gateway);
int64_t rr_watching_peers_wake_us(const struct rr_gateway *gateway);
void rr_handle_peer_disconnect(void *data, struct rr_caller_conn *caller);

#endif
