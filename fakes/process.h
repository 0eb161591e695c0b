#ifndef FAKES_PROCESS_H
#define FAKES_PROCESS_H

#include <sys/types.h>

/* A figure in kB from a process's status, such as "VmHWM:"; -1: not known. */
long fake_process_kb(pid_t pid, const char *field);

#endif
