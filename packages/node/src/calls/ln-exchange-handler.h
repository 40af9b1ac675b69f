#ifndef LN_EXCHANGE_HANDLER_H
#define LN_EXCHANGE_HANDLER_H

/* Base of a type that receives the events of an exchange of the calls task. It is the first member
 * of that type, and is set with ln_exchange_set_user_data. */
typedef struct LnExchangeHandler LnExchangeHandler;

typedef struct
{
  /* The handler must end the exchange, and must not write to it. */
  void (*on_caller_disconnected) (LnExchangeHandler *handler);
} LnExchangeHandlerClass;

struct LnExchangeHandler
{
  const LnExchangeHandlerClass *klass;
};

#endif
