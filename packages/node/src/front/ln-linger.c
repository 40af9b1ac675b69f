#include "ln-linger.h"

#include "lb-alloc.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <sys/socket.h>

#define FLUSH_TIMEOUT_SECONDS 5
#define CLOSE_TIMEOUT_SECONDS 1
/* Limit from the end of the output to the close. CLOSE_TIMEOUT_SECONDS restarts with each byte that
 * the caller sends, so a caller that never stops sending would keep the process from exiting. */
#define MAX_CLOSE_SECONDS 5

struct LnLinger
{
  LbLink link;
  LbList *lingers;
  struct bufferevent *bev;
  struct event *close_timer;
};

static void
linger_free (LnLinger *linger)
{
  lb_list_remove (linger->lingers, &linger->link);
  bufferevent_free (linger->bev);
  event_free (linger->close_timer);
  free (linger);
}

static void
discard_received_input (struct bufferevent *bev, void *user)
{
  (void)user;
  struct evbuffer *input = bufferevent_get_input (bev);

  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
on_output_flushed (struct bufferevent *bev, void *user)
{
  LnLinger *linger = user;
  const struct timeval timeout = { .tv_sec = CLOSE_TIMEOUT_SECONDS };
  const struct timeval limit = { .tv_sec = MAX_CLOSE_SECONDS };

  /* libevent defers this callback to the next loop iteration. It may be for output of the previous
   * owner of bev, while newer output is still pending. */
  if (evbuffer_get_length (bufferevent_get_output (bev)) > 0)
    return;
  shutdown (bufferevent_getfd (bev), SHUT_WR);
  bufferevent_disable (bev, EV_WRITE);
  bufferevent_set_timeouts (bev, &timeout, NULL);
  if (!evtimer_pending (linger->close_timer, NULL))
    evtimer_add (linger->close_timer, &limit);
}

static void
on_linger_closed_or_timeout (struct bufferevent *bev, short what, void *user)
{
  (void)bev;
  (void)what;
  linger_free (user);
}

static void
on_close_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  linger_free (user);
}

void
ln_linger_start (LbList *lingers, struct bufferevent *bev)
{
  LnLinger *linger = LB_NEW (LnLinger);
  const struct timeval flush = { .tv_sec = FLUSH_TIMEOUT_SECONDS };

  linger->lingers = lingers;
  linger->bev = bev;
  linger->close_timer = evtimer_new (bufferevent_get_base (bev), on_close_timer, linger);
  lb_list_append (lingers, &linger->link);
  bufferevent_setcb (bev, discard_received_input, on_output_flushed, on_linger_closed_or_timeout,
                     linger);
  bufferevent_set_timeouts (bev, &flush, &flush);
  bufferevent_setwatermark (bev, EV_READ, 0, 0);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
  /* Without pending output, libevent would not call the write callback. */
  if (evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    on_output_flushed (bev, linger);
}

void
ln_linger_free_all (LbList *lingers)
{
  LB_LIST_FOREACH (lingers, LnLinger, link, linger)
  {
    linger_free (linger);
  }
}
