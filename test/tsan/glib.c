/*
 * Linked into ThreadSanitizer builds only. GLib's mutexes are futex calls in a
 * library that is not instrumented, so TSan reports every access that they
 * guard as a race. These wrappers call GLib and tell TSan of each lock, which
 * a suppression could not do without hiding real races in our own functions.
 */
#include <dlfcn.h>

#include <glib.h>
#include <sanitizer/tsan_interface.h>

static struct {
	void (*mutex_lock)(GMutex *);
	gboolean (*mutex_trylock)(GMutex *);
	void (*mutex_unlock)(GMutex *);
	void (*mutex_clear)(GMutex *);
	void (*cond_wait)(GCond *, GMutex *);
	gboolean (*cond_wait_until)(GCond *, GMutex *, gint64);
} real;

static void
resolve(const char *name, void *out)
{
	*(void **)out = dlsym(RTLD_NEXT, name);
	if (*(void **)out == NULL)
		g_error("%s is not in GLib", name);
}

static void __attribute__((constructor)) resolve_all(void)
{
	resolve("g_mutex_lock", &real.mutex_lock);
	resolve("g_mutex_trylock", &real.mutex_trylock);
	resolve("g_mutex_unlock", &real.mutex_unlock);
	resolve("g_mutex_clear", &real.mutex_clear);
	resolve("g_cond_wait", &real.cond_wait);
	resolve("g_cond_wait_until", &real.cond_wait_until);
}

static void
released(GMutex *m)
{
	__tsan_mutex_pre_unlock(m, 0);
	__tsan_mutex_post_unlock(m, 0);
}

void
g_mutex_lock(GMutex *m)
{
	__tsan_mutex_pre_lock(m, 0);
	real.mutex_lock(m);
	__tsan_mutex_post_lock(m, 0, 0);
}

gboolean
g_mutex_trylock(GMutex *m)
{
	unsigned int flags = __tsan_mutex_try_lock;
	gboolean ok;

	__tsan_mutex_pre_lock(m, flags);
	ok = real.mutex_trylock(m);
	if (!ok)
		flags |= __tsan_mutex_try_lock_failed;
	__tsan_mutex_post_lock(m, flags, 0);
	return ok;
}

void
g_mutex_unlock(GMutex *m)
{
	__tsan_mutex_pre_unlock(m, 0);
	real.mutex_unlock(m);
	__tsan_mutex_post_unlock(m, 0);
}

void
g_mutex_clear(GMutex *m)
{
	__tsan_mutex_destroy(m, 0);
	real.mutex_clear(m);
}

void
g_cond_wait(GCond *c, GMutex *m)
{
	released(m);
	__tsan_mutex_pre_lock(m, 0);
	real.cond_wait(c, m);
	__tsan_mutex_post_lock(m, 0, 0);
}

gboolean
g_cond_wait_until(GCond *c, GMutex *m, gint64 end)
{
	gboolean signalled;

	released(m);
	__tsan_mutex_pre_lock(m, 0);
	signalled = real.cond_wait_until(c, m, end);
	__tsan_mutex_post_lock(m, 0, 0);
	return signalled;
}
