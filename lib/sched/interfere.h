/* How much tasks of one kind slow down those of another on one worker.  Made
   for this load: tasks that share a worker share more than its resources.
   Some kinds disturb each other there, by amounts that change within seconds,
   others do not, and nothing but their progress and the tails of their
   response times shows which.

   The model: an observed slowness = that of the work x that of the worker x
   that of each neighbour x an error.  A task is compared with itself on the
   same worker, before and after its neighbours change, so that work and worker
   cancel out; and with a task of the same work on another worker, with other
   neighbours.  One worker that is slow by itself is no evidence: a pair is
   known only after several workers, or several changes, have shown it.  A
   change of the tail without a change of the neighbours is an error: the load
   of the task itself.  A change of the neighbours' pace alone is no evidence,
   for it follows the tail.

   A kind is the image of a task, or its queue if it has none.  All is kept as
   logarithms with a variance, and fades.  Memory is bounded, however many
   kinds there are.  Pure.  Times are ms of a steady clock.  Prefix: itf_.  */

#ifndef FT_SCHED_INTERFERE_H
#define FT_SCHED_INTERFERE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  ITF_PAIRS_MAX = 256,     /* the least useful are forgotten */
  ITF_TASKS_MAX = 8192,    /* that are followed at once */
  ITF_NEIGHBOURS_MAX = 6,  /* kinds beside a task; with more it teaches
                              nothing */
  ITF_NAME_MAX_BYTES = 48, /* longer names are cut off */
  ITF_CHANGES_MAX = 32     /* that wait to be taken */
};

struct itf_table;

struct itf_table *itf_create (void);
void itf_free (struct itf_table *table);

/*! itf_kind () :
 *  @return : the number of a kind, the same on all hosts; never 0. */
uint64_t itf_kind (bool is_image, const char *name);

/* The tasks of one kind that run beside a task.  */
struct itf_neighbour
{
  uint64_t kind;
  uint32_t count; /* number of the tasks */
  double share;   /* the same, each times its pace from 0 to 1 */
};

/* A look at a running task.  */
struct itf_look
{
  uint64_t task;    /* the same for all looks at a run, until itf_forget () */
  uint64_t work;    /* the same for tasks that have the same work to do */
  uint64_t subject; /* its kind */
  bool is_paced;    /* it runs at less than its own speed by command */
  size_t worker;    /* an index */
  double worker_speed; /* 1: the nominal one, or not known */
  int64_t percent;     /* done of its work */
  bool is_over;        /* it has done all of it just now */
  int64_t tail_ms; /* of its response times; 0: it does not serve requests */
  uint32_t neighbour_count;
  struct itf_neighbour neighbours[ITF_NEIGHBOURS_MAX];
};

/*! itf_name_kind () :
 *  Notes the name of a kind for itf_take_change (); a few hundred are kept. */
void itf_name_kind (struct itf_table *table, uint64_t kind, const char *name);

/*! itf_observe () :
 *  Learns from a look at a task; to be called at each status poll. */
void itf_observe (struct itf_table *table, const struct itf_look *look,
                  int64_t now_ms);

/*! itf_forget () :
 *  The run of TASK is over. */
void itf_forget (struct itf_table *table, uint64_t task);

/*! itf_forget_tasks () :
 *  All runs are over; what is known of kinds stays, and fades. */
void itf_forget_tasks (struct itf_table *table);

/*! itf_update () :
 *  Decides which pairs are known; to be called about once a round. */
void itf_update (struct itf_table *table, int64_t now_ms);

/*! itf_known_count () :
 *  @return : number of pairs that are known, as of the last itf_update (). */
uint32_t itf_known_count (const struct itf_table *table);

/*! itf_is_in_known () :
 *  @return : false if KIND is in no known pair; true may also be wrong. */
bool itf_is_in_known (const struct itf_table *table, uint64_t kind);

/*! itf_slowdown_ln () :
 *  @return : ln of the factor by which one task of the kind NEIGHBOUR slows
 *            down one of the kind SUBJECT on the same worker, for a task that
 *            serves the factor of its tail; 0: not by much, or not known. */
double itf_slowdown_ln (const struct itf_table *table, uint64_t subject,
                        uint64_t neighbour);

/* A pair has become known, or is not known any more.  */
struct itf_change
{
  char subject[ITF_NAME_MAX_BYTES];
  char neighbour[ITF_NAME_MAX_BYTES];
  bool known;
  double slowdown_ln;
  uint32_t workers; /* that have shown it lately */
};

/*! itf_take_change () :
 *  @return : whether there was one; at most ITF_CHANGES_MAX are kept. */
bool itf_take_change (struct itf_table *table, struct itf_change *change);

/*! itf_pair_count () :
 *  @return : number of pairs of which something is remembered. */
uint32_t itf_pair_count (const struct itf_table *table);

#endif
