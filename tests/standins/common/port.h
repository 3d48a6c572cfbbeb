/* Keeps a TCP port for a server that stops and starts again.  Prefix: po_.  */

#ifndef FT_PORT_H
#define FT_PORT_H

#include <stdint.h>

enum po_error
{
  PO_ERR_ADDRESS = -1, /* the address is not an IP number */
  PO_ERR_BIND = -2,
};

/*! po_reserve () :
 *  Binds a port without listening: connections to it are refused, and a
 *  server with SO_REUSEADDR may listen on it.
 *  @port : 0: any free port; set to the one that was bound.
 *  @return : a file descriptor, to be closed; or a po_error. */
int po_reserve (const char *address, uint16_t *port);

#endif
