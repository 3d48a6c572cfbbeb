/* foxtailgapd: the daemon of one entry host.  */

#include <stdio.h>

#include "common/version.h"

int
main (void)
{
  printf ("foxtailgapd %s\n", FT_VERSION);
  return 0;
}
