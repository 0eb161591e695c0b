#ifndef REVIEW_INTERNAL_H
#define REVIEW_INTERNAL_H

#include <pthread.h>
#include <stdio.h>
#include <uv.h>

#include "fakes/platform/objects.h"
#include "standin.h"

#define MAX_ROUTERS 8

struct router {
	pid_t pid;
	unsigned int clients, readiness;
	char *settings, *log;
};

struct si_platform {
	uint64_t started; /* jh_now() time */
	FILE *record;
	pthread_mutex_t record_lock;
	pthread_mutex_t port_lock;
	char *dir;
	uv_loop_t loop;
	pthread_t thread;
	struct fake_objects *objects;
	unsigned int store_port;
	unsigned int n_workers;
	unsigned int n_routers;
	struct router routers[MAX_ROUTERS];
};

/* Returns a free loopback port. */
unsigned int si_port(struct si_platform *p);
/* Prints the message and ends the program with SI_CANNOT_RUN. */
void si_cannot_run(const char *what) G_GNUC_NORETURN;

#endif
