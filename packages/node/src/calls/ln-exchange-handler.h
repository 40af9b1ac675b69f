#ifndef LN_EXCHANGE_HANDLER_H
#define LN_EXCHANGE_HANDLER_H

/* Base type of objects that receive the events of an exchange owned by the calls task. It must be
 * the object's first member; ln_exchange_set_user_data registers the object. */
typedef struct LnExchangeHandler LnExchangeHandler;

typedef struct
{
  /* The callback must end the exchange without writing to it. */
  void (*on_caller_disconnected) (LnExchangeHandler *handler);
} LnExchangeHandlerClass;

struct LnExchangeHandler
{
  const LnExchangeHandlerClass *klass;
};

#endif
