/* Checks of the environment document that no schema expresses.
   Prefix: ec_.  */

#ifndef FT_ENVIRONMENT_CHECK_H
#define FT_ENVIRONMENT_CHECK_H

#include "config/environment.h"
#include "config/yaml_index.h"

/*! ec_check () :
 *  Gives absent fields their defaults and adds a message for each fault. */
void ec_check (struct env_document *document, const struct yi_index *index,
               struct env_messages *messages);

#endif
