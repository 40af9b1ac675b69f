#ifndef SI_SERVER_H
#define SI_SERVER_H

#include "si-json.h"

#include <event2/event.h>
#include <event2/http.h>

typedef void (*SiHandler) (struct evhttp_request *request, void *user);

/* An HTTP server on 127.0.0.1. */
typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  struct event *sigterm_event; /* NULL unless made by si_server_init_program, which owns the base */
  struct event *sigint_event;
  LbName address;
  SiHandler handler;
  void *user;
} SiServer;

/* An event loop whose timers have microsecond resolution. */
struct event_base *si_precise_event_base_new (void);

/* Port 0: the kernel chooses one. Returns false when the address can't be bound. */
bool
si_server_init (SiServer *server, struct event_base *base, int port, SiHandler handler, void *user);
/* Creates the event loop too, which SIGTERM and SIGINT end. */
bool si_server_init_program (SiServer *server, int port, SiHandler handler, void *user);
void si_server_clear (SiServer *server);
/* Simulates the end of the process: closes all connections and refuses new ones until
 * si_server_restart. Frees unanswered requests; the caller must not hold one. */
void si_server_stop (SiServer *server);
/* Listens on the same address again; returns false when it is in use. */
bool si_server_restart (SiServer *server);
/* Prints name and address as a JSON line, for the parent process. */
void si_server_announce (const SiServer *server, const char *name);

bool si_request_is (struct evhttp_request *request, enum evhttp_cmd_type method, const char *path);
const char *si_request_path (struct evhttp_request *request);
const char *si_request_header (struct evhttp_request *request, const char *name);
/* NULL when absent; the caller frees it. */
char *si_request_query (struct evhttp_request *request, const char *key);
/* The body, NUL-terminated; the caller frees it. */
char *si_request_text (struct evhttp_request *request);
/* The body; NULL when it is not a JSON object. */
struct json_object *si_request_json (struct evhttp_request *request);

/* Takes ownership of the object. */
void si_reply_json (struct evhttp_request *request, int status, struct json_object *object);
void si_reply_error (struct evhttp_request *request, int status, const char *type);
/* To be called when the connection of an unanswered request has closed. */
void si_request_release (struct evhttp_request *request);
/* Closes the connection without a reply, or in the middle of one. */
void si_reply_abort (struct evhttp_request *request);

#endif
