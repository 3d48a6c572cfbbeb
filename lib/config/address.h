/* Checks of addresses in settings and on the command line.  Prefix: ad_.  */

#ifndef FT_CONFIG_ADDRESS_H
#define FT_CONFIG_ADDRESS_H

#include <stdbool.h>

/*! ad_is_ip () :
 *  @return : whether TEXT is a numeric IPv4 or IPv6 address. */
bool ad_is_ip (const char *text);

/*! ad_is_ip_port () :
 *  @return : whether TEXT is IP:PORT, with an IPv6 address in brackets and
 *            a port from 1 to 65535. */
bool ad_is_ip_port (const char *text);

#endif
