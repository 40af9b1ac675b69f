#ifndef LN_WEIGHT_ORDERS_H
#define LN_WEIGHT_ORDERS_H

#include "lc-roster.h"
#include "ln-context.h"
#include "ln-messages.h"

/* Orders engines on a shared platform to load weights. One instance, the holder of the weights
 * lease, sends the orders for all models; LcWeights decides the roll-out of each model. */
typedef struct LnWeightOrders LnWeightOrders;

/* on_engine: called when the state of an engine was read, or an order to load was sent to the
 * engine. */
LnWeightOrders *ln_weight_orders_new (LnContext *context,
                                      void (*on_engine) (const LcPlanEntry *entry, void *user),
                                      void *user);
void ln_weight_orders_free (LnWeightOrders *orders);

void ln_weight_orders_configure_engines (LnWeightOrders *orders, const LcResourceSet *set);
/* Records the weight versions in the store's list of endpoints, which was requested at
 * requested_at. */
void ln_weight_orders_apply_endpoint_list (LnWeightOrders *orders,
                                           const LcRoster *roster,
                                           LbTime requested_at,
                                           LbTime now);
void ln_weight_orders_set_newest_version (LnWeightOrders *orders,
                                          const char *model,
                                          LcVersion version,
                                          LbTime now);
void ln_weight_orders_set_members (LnWeightOrders *orders, const LnMembersMessage *members);
void ln_weight_orders_tick (LnWeightOrders *orders, LbTime now);
void ln_weight_orders_release_lease (LnWeightOrders *orders, LbTime now);
bool ln_weight_orders_has_lease (const LnWeightOrders *orders);
/* Returns true if this instance is one of the few that may hold the lease next. */
bool ln_weight_orders_is_lease_candidate (const LnWeightOrders *orders);
bool ln_weight_orders_is_lease_released (const LnWeightOrders *orders, LbTime now);

#endif
