#ifndef LN_WEIGHT_ORDERS_H
#define LN_WEIGHT_ORDERS_H

#include "lc-roster.h"
#include "ln-context.h"
#include "ln-messages.h"

/* Who orders engines to load weights on a shared platform, and the orders: one lease for all
 * models, and for each model the roll-out that LcWeights decides. */
typedef struct LnWeightOrders LnWeightOrders;

/* on_engine: what was learnt of an engine, or that it was ordered. */
LnWeightOrders *ln_weight_orders_new (LnContext *context,
                                      void (*on_engine) (const LcPlanEntry *entry, void *user),
                                      void *user);
void ln_weight_orders_free (LnWeightOrders *orders);

void ln_weight_orders_configure (LnWeightOrders *orders, const LcResourceSet *set);
/* What the store's list told at asked_at. */
void ln_weight_orders_apply_list (LnWeightOrders *orders,
                                  const LcRoster *roster,
                                  LbTime asked_at,
                                  LbTime now);
void ln_weight_orders_set_newest_version (LnWeightOrders *orders,
                                          const char *model,
                                          LcVersion version,
                                          LbTime now);
void ln_weight_orders_set_members (LnWeightOrders *orders, const LnMembersMessage *members);
void ln_weight_orders_tick (LnWeightOrders *orders, LbTime now);
void ln_weight_orders_release_lease (LnWeightOrders *orders, LbTime now);
bool ln_weight_orders_has_lease (const LnWeightOrders *orders);
/* Among the few that may hold the lease next. */
bool ln_weight_orders_is_lease_candidate (const LnWeightOrders *orders);
bool ln_weight_orders_is_lease_released (const LnWeightOrders *orders, LbTime now);

#endif
