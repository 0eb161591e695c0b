#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Named counters, gauges and latency histograms, written in the text format of
 * Prometheus. Not safe for several threads. A metric is created at its first
 * use. Names may have labels: name{label="value"}.
 */
struct jh_metrics;

struct jh_metrics *jh_metrics_create(void);
void jh_metrics_destroy(struct jh_metrics *m);

/* For counters and gauges. */
void jh_metrics_add(struct jh_metrics *m, const char *name, double delta);
void jh_metrics_set(struct jh_metrics *m, const char *name, double value);
/* Adds a time in microseconds to a histogram of 1 ms to 60 s. */
void jh_metrics_observe(struct jh_metrics *m, const char *name, uint64_t usec);
/* The value; of a histogram, the count; 0 if there is no such metric. */
double jh_metrics_get(const struct jh_metrics *m, const char *name);

/* Appends all metrics, ordered by name. */
void jh_metrics_write(const struct jh_metrics *m, GString *out);

#endif
