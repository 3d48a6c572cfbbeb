/* Checks of the environment document that the libcyaml schema cannot express,
   such as bounds, unique names and references.  Prefix: ec_.  */

#ifndef FT_ENVIRONMENT_CHECK_H
#define FT_ENVIRONMENT_CHECK_H

#include "config/environment.h"
#include "config/yaml_index.h"

/*! ec_check_document () :
 *  Checks a whole document: calls the functions of environment_schema.h for
 *  each mapping, sets absent fields to their defaults and adds a message for
 *  each error.
 *  @index : of the text that DOCUMENT was loaded from. */
void ec_check_document (struct env_document *document,
                        const struct yi_index *index,
                        struct env_messages *messages);

#endif
