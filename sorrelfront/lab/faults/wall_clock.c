/* Shifts the wall clock of one process only, by the offset in a mapped page.
 *
 * Loaded with LD_PRELOAD. WALL_CLOCK_PAGE names a file of two native 64-bit integers: the offset in nanoseconds,
 * which may change at any time, and the number of reads of the wall clock, which this library counts. The monotonic
 * clock is not changed. */

#define _GNU_SOURCE
#include "page.h"

#include <dlfcn.h>
#include <stdint.h>
#include <sys/time.h>
#include <time.h>

#define NANOSECONDS 1000000000LL

struct page {
    volatile int64_t offset_ns;
    int64_t reads;
};

static struct page *page;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void start(void)
{
    real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    page = map_page("WALL_CLOCK_PAGE", sizeof *page);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    if (!real_clock_gettime)
        start();
    int result = real_clock_gettime(clock, now);
    if (result || !page || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
        return result;
    __atomic_add_fetch(&page->reads, 1, __ATOMIC_RELAXED);
    int64_t total = now->tv_sec * NANOSECONDS + now->tv_nsec + page->offset_ns;
    now->tv_sec = total / NANOSECONDS;
    now->tv_nsec = total % NANOSECONDS;
    return 0;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec precise;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &precise))
        return -1;
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result)
{
    struct timespec precise;
    clock_gettime(CLOCK_REALTIME, &precise);
    if (result)
        *result = precise.tv_sec;
    return precise.tv_sec;
}
