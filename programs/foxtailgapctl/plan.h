/* Shows what putting a document in force would change (the plan that an
   operator reviews; no placement of jobs), and puts it in force.  Prefix:
   plan_.  */

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
 *  @apply_command : shown as the command line that puts NEXT in force, without
 *                   --base and --digest, which are added. */
void plan_show (struct api *api, const struct live_revision *live,
                const struct plan_document *next, const char *apply_command,
                bool json);

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

/* The plan that an operator reviewed: only this base and document may be
   applied.  */
struct plan_approval
{
  bool given;    /* --base and --digest are given */
  uint64_t base; /* revision that the plan was made on */
  const char *digest;
  uint64_t wait_limit_ms; /* for all hosts to have the revision */
};

/*! plan_approval () :
 *  Reads the reviewed plan from the arguments.
 *  @return : false, after a message, if the arguments are wrong. */
bool plan_approval (const struct plan_args *arguments,
                    struct plan_approval *out);

/*! plan_apply () :
 *  Puts NEXT in force if it has the reviewed digest and no other revision
 *  came after the reviewed base.
 *  @return : the exit code, after messages. */
int plan_apply (struct api *api, const struct plan_document *next,
                const struct plan_args *arguments,
                const struct plan_approval *approval, bool json);

#endif
