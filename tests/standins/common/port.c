/* Reserves a TCP port for a server that stops and starts again.  */

#include "standins/common/port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

int
po_reserve (const char *address, uint16_t *port)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (*port) };
  socklen_t size = sizeof name;
  int one = 1;
  int fd;

  if (inet_pton (AF_INET, address, &name.sin_addr) != 1)
    return PO_ERR_ADDRESS;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return PO_ERR_BIND;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&name, sizeof name) != 0
      || getsockname (fd, (struct sockaddr *)&name, &size) != 0)
    {
      close (fd);
      return PO_ERR_BIND;
    }
  *port = ntohs (name.sin_port);
  return fd;
}
