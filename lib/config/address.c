/* Checks of numeric IP addresses.  */

#include "config/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

enum
{
  PORT_MAX = 65535
};

bool
ad_is_ip (const char *text)
{
  struct in6_addr address;

  return inet_pton (AF_INET, text, &address) == 1
         || inet_pton (AF_INET6, text, &address) == 1;
}

bool
ad_is_ip_port (const char *text)
{
  struct in6_addr address;
  const char *colon = strrchr (text, ':');
  char host[INET6_ADDRSTRLEN + 2];
  size_t length;
  bool v6;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, NULL, NULL))
    return false;
  length = (size_t)(colon - text);
  v6 = length > 2 && text[0] == '[' && colon[-1] == ']';
  if (v6)
    {
      text++;
      length -= 2;
    }
  memcpy (host, text, length);
  host[length] = '\0';
  return inet_pton (v6 ? AF_INET6 : AF_INET, host, &address) == 1;
}
