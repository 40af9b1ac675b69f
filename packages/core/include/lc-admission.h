#ifndef LC_ADMISSION_H
#define LC_ADMISSION_H

#include "lc-organisations.h"

/* Whose call it is, decided before anything else of it is looked at. No I/O. */

/* Whether a key that is still held may be taken for one when this instance can't ask any more. */
typedef struct
{
  bool refuse_unconfirmed; /* then not, once the configuration was not confirmed for: */
  LbTime max_unconfirmed_age;
} LcAdmissionRules;

/* What a call brings. */
typedef struct
{
  const char *key; /* NULL: none */
  size_t n_keys;   /* that it brings */
  bool is_public;  /* its route is open to all */
} LcAdmissionCall;

/* What this instance believes. */
typedef struct
{
  const LcOrganisations *organisations; /* NULL: none are declared, and no call needs a key */
  LbTime confirmed_at;                  /* when they were last known to be the newest */
} LcAdmissionView;

typedef struct
{
  LbErrorCode error;           /* LB_OK: it is admitted */
  const char *reason;          /* for the log and the caller; NULL when it is admitted */
  LbTime retry_after;          /* 0: there is no use in coming back */
  LcOrganisation organisation; /* whose call it is; without a name: nobody's in particular */
  bool has_digest;
  LcKeyDigest digest; /* of the key */
} LcAdmission;

void lc_admission_decide (const LcAdmissionRules *rules,
                          const LcAdmissionView *belief,
                          const LcAdmissionCall *call,
                          LbTime now,
                          LcAdmission *admission);

#endif
