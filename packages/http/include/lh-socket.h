#ifndef LH_SOCKET_H
#define LH_SOCKET_H

/* Enables TCP keep-alive, so that the kernel detects a dead connection within about 6 s. */
void lh_socket_enable_keepalive (int fd);

#endif
