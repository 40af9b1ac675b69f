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
  struct event *sigterm_event; /* NULL unless si_server_init_standalone created base */
  struct event *sigint_event;
  LbName address;
  SiHandler handler;
  void *user;
} SiServer;

/* Creates an event loop whose timers have microsecond resolution. */
struct event_base *si_precise_event_base_new (void);

/* Listens on the port; with port 0 the kernel chooses a free port. Returns false if the address
 * can't be bound. */
bool
si_server_init (SiServer *server, struct event_base *base, int port, SiHandler handler, void *user);
/* Like si_server_init, but creates the event loop and lets SIGTERM and SIGINT end it. */
bool si_server_init_standalone (SiServer *server, int port, SiHandler handler, void *user);
void si_server_clear (SiServer *server);
/* Simulates the exit of the process: closes all connections and refuses new ones until
 * si_server_restart. Frees unanswered requests, so that pointers to them become invalid. */
void si_server_stop (SiServer *server);
/* Listens on the server's previous address again; returns false if the address is in use. */
bool si_server_restart (SiServer *server);
/* Prints the name and the server's address to stdout as one line of JSON for the parent process. */
void si_server_print_address (const SiServer *server, const char *name);

bool si_request_has_method_and_path (struct evhttp_request *request,
                                     enum evhttp_cmd_type method,
                                     const char *path);
const char *si_request_get_path (struct evhttp_request *request);
const char *si_request_get_header (struct evhttp_request *request, const char *name);
/* Returns the decoded value of a query parameter, NULL if absent; the caller frees the string. */
char *si_request_copy_query_value (struct evhttp_request *request, const char *key);
/* Returns the request body, NUL-terminated; the caller frees it. */
char *si_request_copy_body (struct evhttp_request *request);
/* Returns the request body as JSON, NULL if it is not a JSON object. */
struct json_object *si_request_parse_body (struct evhttp_request *request);

/* Replies with the JSON object and takes ownership of it. */
void si_reply_json (struct evhttp_request *request, int status, struct json_object *object);
void si_reply_error (struct evhttp_request *request, int status, const char *type);
/* Must be called when the connection of an unanswered request has closed. */
void si_request_free_if_connection_closed (struct evhttp_request *request);
/* Closes the request's connection without a reply or in the middle of a reply. */
void si_request_close_connection (struct evhttp_request *request);

#endif
