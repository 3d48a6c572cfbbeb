/* Schema, defaults and bounds of the environment document.  Prefix: es_.  */

#ifndef FT_ENVIRONMENT_SCHEMA_H
#define FT_ENVIRONMENT_SCHEMA_H

#include "config/environment.h"
#include "config/schema.h"

enum
{
  ES_TEAM_LIMIT = 1024,
  ES_GUARANTEE_LIMIT = 32, /* of one team */
  ES_SERVICE_LIMIT = 64,
  ES_OBJECTIVE_LIMIT = 4096
};

/*! es_schema () :
 *  Of a struct env_document. */
const cyaml_schema_value_t *es_schema (void);

/*! es_document (), es_team (), es_guarantee (), es_service (),
 *  es_objective () :
 *  Defaults and bounds of the fields of one mapping. */
void es_document (const struct sc_place *place);
void es_team (const struct sc_place *place);
void es_guarantee (const struct sc_place *place);
void es_service (const struct sc_place *place);
void es_objective (const struct sc_place *place);

#endif
