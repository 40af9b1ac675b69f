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
  struct event *terminate; /* these two and the base: of a program's server only */
  struct event *interrupt;
  LbName address;
  SiHandler handler;
  void *user;
} SiServer;

struct event_base *si_precise_base_new (void);

/* port 0: the kernel chooses. False when it can't be bound. */
bool
si_server_init (SiServer *server, struct event_base *base, int port, SiHandler handler, void *user);
/* A server with its own event loop, which SIGTERM and SIGINT end. */
bool si_server_init_program (SiServer *server, int port, SiHandler handler, void *user);
void si_server_clear (SiServer *server);
/* As when its process ends: all its connections are reset, and its address refuses new ones until
 * it resumes. Requests that are not answered are freed; nobody may hold one. */
void si_server_stop (SiServer *server);
/* At the same address; false when that is taken. */
bool si_server_restart (SiServer *server);
void si_server_announce (const SiServer *server, const char *name);

bool si_request_is (struct evhttp_request *request, enum evhttp_cmd_type method, const char *path);
const char *si_request_path (struct evhttp_request *request);
const char *si_request_header (struct evhttp_request *request, const char *name);
char *si_request_query (struct evhttp_request *request, const char *key);
char *si_request_text (struct evhttp_request *request);
struct json_object *si_request_json (struct evhttp_request *request);

void si_reply_json (struct evhttp_request *request, int status, struct json_object *object);
void si_reply_error (struct evhttp_request *request, int status, const char *type);
/* To be called when the connection of a request that is not answered yet has closed. */
void si_request_release (struct evhttp_request *request);
/* Closes the connection without an answer, or with the answer cut off. */
void si_reply_abort (struct evhttp_request *request);

#endif
