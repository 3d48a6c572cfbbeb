/* Checks of addresses in settings and on the command line.  Prefix: ad_.  */

#ifndef FT_CONFIG_ADDRESS_H
#define FT_CONFIG_ADDRESS_H

#include <stdbool.h>

/*! ad_is_ip () :
 *  @return : whether TEXT is an IPv4 or IPv6 number. */
bool ad_is_ip (const char *text);

/*! ad_is_ip_port () :
 *  @return : whether TEXT is IP:PORT, with an IPv6 number in brackets. */
bool ad_is_ip_port (const char *text);

#endif
