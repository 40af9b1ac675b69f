#ifndef LC_ADMISSION_H
#define LC_ADMISSION_H

#include "lc-organisations.h"

/* Decides, from its API key alone and before anything else in it is read, whether a call is
 * admitted and for which organisation. No I/O. */

/* Whether a known key is still accepted while this instance can't confirm its configuration. */
typedef struct
{
  /* Refuse even a known key once the last confirmation of the organisations is this old. */
  bool refuse_unconfirmed;
  LbTime max_unconfirmed_age;
} LcAdmissionRules;

/* Credentials of one call. */
typedef struct
{
  const char *key; /* NULL: none */
  size_t n_keys;   /* keys in the call */
  bool is_public;  /* the route requires no key */
} LcAdmissionCall;

/* The organisations as this instance knows them. */
typedef struct
{
  const LcOrganisations *organisations; /* NULL: none are configured, and no call needs a key */
  LbTime confirmed_at;                  /* when they were last confirmed to be the newest */
} LcAdmissionView;

typedef struct
{
  LbErrorCode error;  /* LB_OK: admitted */
  const char *reason; /* reason of a refusal, for the log and the caller; NULL if admitted */
  LbTime retry_after; /* 0: retrying is useless */
  LcOrganisation organisation; /* the key's holder; an empty name: none */
  bool has_digest;
  LcKeyDigest digest; /* digest of the call's key */
} LcAdmission;

void lc_admission_decide (const LcAdmissionRules *rules,
                          const LcAdmissionView *view,
                          const LcAdmissionCall *call,
                          LbTime now,
                          LcAdmission *admission);

#endif
