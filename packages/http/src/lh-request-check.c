#include "lh-request-check.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

bool
lh_is_header_name (const char *name, size_t length)
{
  static const char symbols[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)name[i]) && (name[i] == '\0' || !strchr (symbols, name[i])))
      return false;
  return length > 0;
}

bool
lh_is_header_value (const char *value, size_t length)
{
  return !memchr (value, '\r', length) && !memchr (value, '\n', length)
         && !memchr (value, '\0', length);
}

bool
lh_is_hop_by_hop_header (const char *name)
{
  static const char *const names[]
      = { "Connection",        "Keep-Alive", "Transfer-Encoding", "TE",     "Trailer",
          "Upgrade",           "Host",       "Content-Length",    "Expect", "Proxy-Connection",
          "Proxy-Authenticate" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

/* Whether the text has no space or control character. Either would end the path in the request
 * line, and some servers also end a host name there. */
static bool
is_single_word (const char *text)
{
  for (; *text; text++)
    if ((unsigned char)*text <= ' ' || *text == '\x7f')
      return false;
  return true;
}

static bool
check_header (const LhHeader *header, LbError *error)
{
  if (!header->name || !lh_is_header_name (header->name, strlen (header->name)))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "headers",
                         "expected header names of letters, digits and !#$%%&'*+-.^_`|~");
  if (lh_is_hop_by_hop_header (header->name))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, header->name,
                         "expected no header that concerns a single connection");
  if (!header->value || !lh_is_header_value (header->value, strlen (header->value)))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, header->name,
                         "expected a header value without line breaks");
  return true;
}

bool
lh_request_check (const LhRequest *request, LbError *error)
{
  if (!lh_method_is_supported (request->method))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "method", "expected a known HTTP method");
  if (request->path[0] == '\0' || !is_single_word (request->path))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "path",
                         "expected a path without spaces and control characters");
  if (request->host && !is_single_word (request->host))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "host",
                         "expected a host name without spaces and control characters");
  for (size_t i = 0; i < request->n_headers; i++)
    if (!check_header (&request->headers[i], error))
      return false;
  return true;
}
