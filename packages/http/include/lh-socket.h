#ifndef LH_SOCKET_H
#define LH_SOCKET_H

/* Makes the kernel find out within about six seconds that a connection has gone silent. */
void lh_socket_enable_keepalive (int fd);

#endif
