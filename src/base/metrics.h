#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Named counters, gauges and latency histograms of one thread, written as text
 * in the Prometheus format. Names may carry labels: name{label="value"}.
 */
struct jh_metrics;

struct jh_metrics *jh_metrics_create(void);
void jh_metrics_destroy(struct jh_metrics *m);

void jh_metrics_add(struct jh_metrics *m, const char *name, double delta);
void jh_metrics_set(struct jh_metrics *m, const char *name, double value);
/* Counts a time in microseconds in buckets of 1 ms to 60 s. */
void jh_metrics_time(struct jh_metrics *m, const char *name, uint64_t usec);
double jh_metrics_get(const struct jh_metrics *m, const char *name);

/* Appends all of them, in order of name. */
void jh_metrics_write(const struct jh_metrics *m, GString *out);

#endif
