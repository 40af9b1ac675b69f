#ifndef LN_EXCHANGE_HANDLER_H
#define LN_EXCHANGE_HANDLER_H

/* Receives the events of an exchange of the calls task; set with ln_exchange_set_user. First member
 * of its type. */
typedef struct LnExchangeHandler LnExchangeHandler;

typedef struct
{
  /* The handler must end the exchange and no longer write to it. */
  void (*on_caller_disconnected) (LnExchangeHandler *handler);
} LnExchangeHandlerClass;

struct LnExchangeHandler
{
  const LnExchangeHandlerClass *klass;
};

#endif
