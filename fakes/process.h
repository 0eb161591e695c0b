#ifndef FAKES_PROCESS_H
#define FAKES_PROCESS_H

#include <sys/types.h>

/*
 * Reads a field such as "VmHWM:" of /proc/PID/status, in kB. Returns -1 if the
 * process or the field does not exist.
 */
long fake_process_kb(pid_t pid, const char *field);

#endif
