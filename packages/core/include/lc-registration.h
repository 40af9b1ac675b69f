#ifndef LC_REGISTRATION_H
#define LC_REGISTRATION_H

#include "lc-roster.h"

/* This header declares the JSON form of an endpoint's registration, which instances send to each
 * other. The JSON omits the weight versions, which change with each load and are part of the engine
 * plan (the assignment of engines to models). */

/* Equal registrations give equal texts. The caller frees the result. */
char *lc_registration_to_json (const LcRegistration *registration);
bool lc_registration_from_json (const char *text, LcRegistration *registration);

#endif
