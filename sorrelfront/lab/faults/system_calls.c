/* Injects errors into the system calls of one process, as they occur in production.
 *
 * Loaded with LD_PRELOAD. SYSTEM_CALLS_PAGE names a file that holds `struct page`: the probability of each fault,
 * which may change at any time, and the count of its injections. Only IPv4 sockets are affected, so that the
 * program's internal communication goes on. Random numbers come from a linear congruential generator, whose seed
 * is in the page. */

#define _GNU_SOURCE
#include "page.h"

#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/socket.h>

enum call { ACCEPT, SOCKET, CONNECT, POLL, SHORT_READ, SHORT_WRITE, BROKEN, CALLS };

#define MILLION 1000000U
#define SHORT_BYTES 7U /* the maximum length of a short read or write */

struct fault {
    volatile uint32_t chance; /* probability in millionths */
    uint32_t hits;
};

struct page {
    uint64_t state;
    struct fault faults[CALLS];
};

static struct page *page;

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void start(void)
{
    page = map_page("SYSTEM_CALLS_PAGE", sizeof *page);
}

static uint32_t random_below(uint32_t below)
{
    page->state = page->state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)(page->state >> 33) % below;
}

static int inject(enum call call)
{
    if (!page || !page->faults[call].chance || random_below(MILLION) >= page->faults[call].chance)
        return 0;
    page->faults[call].hits++;
    return 1;
}

static int is_ipv4(int fd)
{
    int domain = 0;
    socklen_t length = sizeof domain;
    int saved = errno;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length);
    errno = saved;
    return !known && domain == AF_INET;
}

static int fail(const int *errors, uint32_t count)
{
    errno = errors[random_below(count)];
    return -1;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR};
    REAL(accept4);
    if (page && is_ipv4(fd) && inject(ACCEPT))
        return fail(errors, 6);
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    REAL(socket);
    if (domain == AF_INET && inject(SOCKET))
        return fail(errors, 4);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EINTR};
    REAL(connect);
    if (page && address->sa_family == AF_INET && inject(CONNECT)) {
        int failed = fail(errors, 3);
        if (errno == EINTR) { /* an interrupted connect goes on in the background */
            real(fd, address, length);
            errno = EINTR;
        }
        return failed;
    }
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    REAL(epoll_wait);
    if (inject(POLL)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, most, timeout);
}

/* Replaces some resets by the other errors that a broken connection may report. */
static ssize_t replace_reset(ssize_t result)
{
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
    if (result < 0 && (errno == ECONNRESET || errno == EPIPE) && inject(BROKEN))
        return fail(errors, 2);
    return result;
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    REAL(recv);
    if (page && size > SHORT_BYTES && !(flags & MSG_PEEK) && is_ipv4(fd) && inject(SHORT_READ))
        size = 1 + random_below(SHORT_BYTES);
    return replace_reset(real(fd, data, size, flags));
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    REAL(send);
    if (page && size > 1 && is_ipv4(fd) && inject(SHORT_WRITE))
        size = 1 + random_below(size - 1 < SHORT_BYTES ? size - 1 : SHORT_BYTES);
    return replace_reset(real(fd, data, size, flags));
}
