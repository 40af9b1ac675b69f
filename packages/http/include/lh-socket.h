#ifndef LH_SOCKET_H
#define LH_SOCKET_H

/* Lets the kernel detect a dead connection within about six seconds. */
void lh_socket_enable_keepalive (int fd);

#endif
