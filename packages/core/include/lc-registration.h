#ifndef LC_REGISTRATION_H
#define LC_REGISTRATION_H

#include "lc-roster.h"

/* An endpoint's entry as instances tell it one another: all but the versions of its weights, which
 * change with each load and are told by the engines' plan. */

/* The same entry has the same text. The caller frees. */
char *lc_registration_to_json (const LcRegistration *listed);
bool lc_registration_from_json (const char *text, LcRegistration *listed);

#endif
