/*
 * fake-cluster-private.h - functions shared by the source files of the fake
 * cluster.
 */
#ifndef TESTS_SUPPORT_FAKE_CLUSTER_PRIVATE_H
#define TESTS_SUPPORT_FAKE_CLUSTER_PRIVATE_H

#include "support/fake-cluster.h"

int64_t fake_wall_us(const struct fake_cluster *cluster);

/* fake-cluster-actions.c */
struct rr_core_actions fake_actions(struct fake_instance *instance);
struct rr_store_port fake_store_actions(struct fake_instance *instance);
/* Free an event of the queue, and a value of the store. */
void fake_free_event(void *data);
void fake_free_value(gpointer data);

#endif
