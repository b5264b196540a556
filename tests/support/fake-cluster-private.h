/*
 * fake-cluster-private.h - what the parts of the fake carrier share.
 */
#ifndef TESTS_SUPPORT_FAKE_CLUSTER_PRIVATE_H
#define TESTS_SUPPORT_FAKE_CLUSTER_PRIVATE_H

#include "support/fake-cluster.h"

int64_t fake_wall_us(const struct fake_cluster *world);

/* fake-cluster-actions.c */
struct rr_core_actions fake_actions(struct fake_instance *instance);
struct rr_store_port fake_store_actions(struct fake_instance *instance);
/* Of the world's queue, and of its store's values. */
void fake_free_event(void *data);
void fake_free_value(gpointer data);

#endif
