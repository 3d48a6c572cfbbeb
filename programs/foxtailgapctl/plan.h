/* What putting a document in force would change, and doing it.
   Prefix: plan_.  */

#ifndef FT_PLAN_H
#define FT_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "api.h"
#include "config/environment.h"
#include "live.h"

/* A document that is to be put in force.  */
struct plan_document
{
  const char *name; /* shown to the operator */
  const char *text;
  size_t size_bytes;
  const char *digest;
  const struct env_document *document;
};

/*! plan_show () :
 *  Prints the changes from LIVE to NEXT, the guarantees before and after and
 *  the hosts' revisions; writes nothing.
 *  @how : the command line that applies just this. */
void plan_show (struct api *api, const struct live *live,
                const struct plan_document *next, const char *how, bool json);

/* Arguments of the subcommands that put a document in force.  */
struct plan_args
{
  struct arg_str *base;
  struct arg_str *digest;
  struct arg_str *author;
  struct arg_str *note;
  struct arg_lit *wait;
  struct arg_str *wait_limit_ms;
};

/*! plan_args () :
 *  @required : whether --base and --digest must be given. */
struct plan_args plan_args (bool required);

/* What was reviewed.  */
struct plan_agreed
{
  bool given;
  uint64_t base;
  const char *digest;
  uint64_t wait_limit_ms;
};

/*! plan_agreed () :
 *  @return : false, after a message, if the arguments are wrong. */
bool plan_agreed (const struct plan_args *arguments, struct plan_agreed *out);

/*! plan_apply () :
 *  Puts NEXT in force if it is what was reviewed.
 *  @return : the exit code, after messages. */
int plan_apply (struct api *api, const struct plan_document *next,
                const struct plan_args *arguments,
                const struct plan_agreed *agreed, bool json);

#endif
