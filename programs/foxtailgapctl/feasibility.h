/* Check whether all guarantees of a document fit a pool of equal workers at
   the same time.  Prefix: fs_.  */

#ifndef FT_FEASIBILITY_H
#define FT_FEASIBILITY_H

#include <stdbool.h>

#include "cli.h"
#include "config/environment.h"

/* Arguments that describe the workers.  */
struct fs_args
{
  struct arg_str *workers;
  struct arg_str *rack_size;
  struct arg_str *cpus_milli;
  struct arg_str *memory_mb;
  struct arg_str *accelerators;
};

/* The pool, and the size of each worker.  */
struct fs_worker_pool
{
  uint64_t workers;   /* 0: no check is requested */
  uint64_t rack_size; /* workers of each rack; the last may have fewer */
  uint64_t cpus_milli;
  uint64_t memory_mb;
  uint64_t accelerators;
};

struct fs_args fs_args (void);

/*! fs_worker_pool () :
 *  Reads the pool from the arguments.
 *  @return : false, after a message, if the arguments are wrong. */
bool fs_worker_pool (const struct fs_args *arguments,
                     struct fs_worker_pool *out);

/*! fs_check () :
 *  Checks the guarantees against POOL, whose workers are all in one data
 *  centre.
 *  @text : the guarantee that does not fit, or the error, if the result is
 *          false. */
bool fs_check (const struct env_document *document,
               const struct fs_worker_pool *pool,
               char text[PLACE_TEXT_SIZE_BYTES]);

#endif
