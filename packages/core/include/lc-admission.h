#ifndef LC_ADMISSION_H
#define LC_ADMISSION_H

#include "lc-organisations.h"

/* This header declares the admission of calls: decides by the API key whether a call is admitted
 * and for which organisation. Nothing else of the call has been read at that point. No I/O. */

/* Whether known keys stay valid while this instance can't confirm its list of organisations. */
typedef struct
{
  /* Refuse known keys when the last confirmation of the list of organisations is
   * max_unconfirmed_age old. */
  bool refuse_unconfirmed;
  LbTime max_unconfirmed_age;
} LcAdmissionRules;

/* Credentials of one call. */
typedef struct
{
  const char *key; /* API key; NULL: the call carries none */
  size_t n_keys;   /* number of API keys in the call; more than one is refused */
  bool is_public;  /* the route requires no API key */
} LcAdmissionCall;

/* This instance's copy of the organisations, read from the store. */
typedef struct
{
  /* the organisations; NULL: none are configured, so calls need no key */
  const LcOrganisations *organisations;
  LbTime confirmed_at; /* when the copy was last confirmed to be current */
} LcAdmissionView;

typedef struct
{
  LbErrorCode error;  /* LB_OK: the call is admitted */
  const char *reason; /* why the call is refused, for the log and the caller; NULL if admitted */
  LbTime retry_after; /* delay after which the caller may retry; 0: a retry would fail too */
  LcOrganisation organisation; /* organisation of the API key; empty name: the key is not known */
  bool has_digest;
  LcKeyDigest digest; /* digest of the call's API key, if has_digest */
} LcAdmission;

void lc_admission_decide (const LcAdmissionRules *rules,
                          const LcAdmissionView *view,
                          const LcAdmissionCall *call,
                          LbTime now,
                          LcAdmission *admission);

#endif
