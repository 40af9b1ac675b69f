#ifndef LN_HOLDER_H
#define LN_HOLDER_H

/* What holds an exchange of the calls task and hears when its caller goes away. First member of its
 * type. */
typedef struct LnHolder LnHolder;

typedef struct
{
  /* The exchange is no longer written to, and must be ended. */
  void (*caller_gone) (LnHolder *holder);
} LnHolderClass;

struct LnHolder
{
  const LnHolderClass *klass;
};

#endif
