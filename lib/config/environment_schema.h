/* Schema, defaults and bounds of the environment document.  Prefix: env_.  */

#ifndef FT_ENVIRONMENT_SCHEMA_H
#define FT_ENVIRONMENT_SCHEMA_H

#include "config/environment.h"
#include "config/schema.h"

enum
{
  /* Entries of one document.  */
  ENV_TEAM_LIMIT = 1024,
  ENV_GUARANTEE_LIMIT = 32, /* for each team */
  ENV_SERVICE_LIMIT = 64,
  ENV_OBJECTIVE_LIMIT = 4096
};

/*! env_schema () :
 *  @return : the libcyaml schema of a struct env_document. */
const cyaml_schema_value_t *env_schema (void);

/*! env_check_document (), env_check_team (), env_check_guarantee (),
 *  env_check_service (), env_check_objective () :
 *  Set absent fields of one mapping to their defaults and check bounds.
 *  @mapping : its target is the struct env_document, env_team, env_guarantee,
 *             env_service or env_objective. */
void env_check_document (const struct sc_mapping *mapping);
void env_check_team (const struct sc_mapping *mapping);
void env_check_guarantee (const struct sc_mapping *mapping);
void env_check_service (const struct sc_mapping *mapping);
void env_check_objective (const struct sc_mapping *mapping);

#endif
