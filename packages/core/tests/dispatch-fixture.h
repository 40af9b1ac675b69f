#ifndef DISPATCH_FIXTURE_H
#define DISPATCH_FIXTURE_H

#include "lb-alloc.h"
#include "lc-dispatch.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/* An LcDispatch with the pool "reader" and the service "lookup". `actions` holds the actions that
 * the dispatch has requested and that the test has not taken yet. */
typedef struct
{
  LcDispatch *dispatch;
  LcResourceSet set;
  LcPool pool;
  LcEndpointMember members[16];
  LbList actions;
  LbTime now;
  LcRequestId last_id;
  LbTime retry_after;
  LbError error;
} Fixture;

static inline void
fixture_add_endpoint (Fixture *f, const char *name, int kind, const char *pool, int64_t concurrency)
{
  LcEndpointMember *member = &f->members[f->set.n_endpoints++];

  *member = (LcEndpointMember){ .kind = kind, .concurrency = concurrency };
  LB_COPY (member->name, name);
  LB_COPY (member->pool, pool);
  LB_COPY (member->address, "127.0.0.1:9");
}

/* Applies the endpoint set to the dispatch. Reports the load of each new endpoint once, because an
 * endpoint that has never reported gets no work at first. */
static inline void
fixture_apply_endpoint_set (Fixture *f)
{
  LcLoadReport idle = { .version = 1, .measured_at = f->now };

  f->set.revision++;
  lc_dispatch_configure (f->dispatch, &f->set, f->now, &f->actions);
  for (size_t i = 0; i < f->set.n_endpoints; i++)
    {
      const char *name = f->members[i].name;

      if (lc_endpoints_find (lc_dispatch_get_endpoints (f->dispatch), name)->last_reply_at == 0)
        lc_dispatch_record_load_report (f->dispatch, name, &idle, f->now, &f->actions);
    }
}

/* Creates a dispatch with the engines e1, e2, ... in the pool, and with the endpoints s1 and s2 of
 * the service. */
static inline void
fixture_init (Fixture *f, const LcDispatchSettings *settings, int n_engines, int64_t concurrency)
{
  memset (f, 0, sizeof *f);
  lb_list_init (&f->actions);
  f->now = LB_SEC;
  f->dispatch = lc_dispatch_new (settings);
  cr_assert_not_null (f->dispatch);
  LB_COPY (f->pool.name, "reader");
  f->pool.live_reserve = 0.25;
  f->set.pools = &f->pool;
  f->set.n_pools = 1;
  f->set.endpoints = f->members;
  for (int i = 1; i <= n_engines; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "e%d", i);
      fixture_add_endpoint (f, name, LC_ENDPOINT_ENGINE, "reader", concurrency);
    }
  fixture_add_endpoint (f, "s1", LC_ENDPOINT_SERVICE, "lookup", concurrency);
  fixture_add_endpoint (f, "s2", LC_ENDPOINT_SERVICE, "lookup", concurrency);
  fixture_apply_endpoint_set (f);
}

static inline void
fixture_free_pending_actions (Fixture *f)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&f->actions)))
    lc_action_free (LB_CONTAINER (link, LcAction, link));
}

static inline void
fixture_clear (Fixture *f)
{
  cr_assert_eq (lc_dispatch_count_invariant_failures (f->dispatch), 0);
  fixture_free_pending_actions (f);
  lc_dispatch_free (f->dispatch);
}

static inline LcRequestSpec
fixture_make_request_spec (Fixture *f, LcRequestKind kind)
{
  LcRequestSpec spec = { .id = ++f->last_id,
                         .kind = kind,
                         .repeatable = true,
                         .resumable = kind != LC_KIND_SERVICE,
                         .expected_tokens = 10,
                         .deadline = LB_TIME_NEVER };

  LB_COPY (spec.pool, kind == LC_KIND_SERVICE ? "lookup" : "reader");
  LB_COPY (spec.caller, "clerk");
  return spec;
}

static inline bool
fixture_submit_request (Fixture *f, const LcRequestSpec *spec)
{
  return lc_dispatch_submit (f->dispatch, spec, f->now, &f->actions, &f->retry_after, &f->error);
}

/* Removes and frees pending actions up to the first one of this type for the request, which is
 * copied to *action. Returns false if there is none; all pending actions are then freed. */
static inline bool
fixture_take_action_of_request (Fixture *f,
                                LcActionType type,
                                LcRequestId request,
                                LcAction *action)
{
  LbLink *link = NULL;
  bool found = false;

  while (!found && (link = lb_list_pop (&f->actions)))
    {
      LcAction *next = LB_CONTAINER (link, LcAction, link);

      found = next->type == type && next->request == request;
      if (found)
        *action = *next;
      lc_action_free (next);
    }
  return found;
}

static inline LcAction
fixture_expect_action_of_request (Fixture *f, LcActionType type, LcRequestId request)
{
  LcAction action = { .type = type };

  cr_assert (fixture_take_action_of_request (f, type, request, &action),
             "expected an action of type %d for request %lu, got none", (int)type,
             (unsigned long)request);
  return action;
}

static inline LcPieceVerdict
fixture_deliver_piece (
    Fixture *f, LcRequestId request, uint32_t attempt, int64_t offset, int64_t tokens, bool last)
{
  LcPiece piece = { .offset = offset, .tokens = tokens, .version = 1, .last = last };

  return lc_dispatch_receive_piece (f->dispatch, request, attempt, &piece, f->now, &f->actions);
}

static inline void
fixture_end_attempt (Fixture *f, LcRequestId request, uint32_t attempt, LcAttemptEnd end)
{
  lc_dispatch_record_attempt_end (f->dispatch, request, attempt, end, f->now, &f->actions);
}

static inline void
fixture_tick_dispatch_at (Fixture *f, LbTime now)
{
  f->now = now;
  lc_dispatch_tick (f->dispatch, now, &f->actions);
}

#endif
