#ifndef LC_REGISTRATION_H
#define LC_REGISTRATION_H

#include "lc-roster.h"

/* An endpoint's registration as JSON, as instances exchange it. Leaves out the weight versions,
 * which change with each load and are part of the engine plan. */

/* Equal registrations give equal texts. The caller frees. */
char *lc_registration_to_json (const LcRegistration *registration);
bool lc_registration_from_json (const char *text, LcRegistration *registration);

#endif
