/* Version of the library and the programs.  */

#ifndef FT_VERSION_H
#define FT_VERSION_H

#define FT_VERSION "0.1.0"

#endif
