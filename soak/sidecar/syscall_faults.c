/* System calls that fail as Linux documents, and a wall clock that can be stepped, for one process.
 *
 * Loaded with LD_PRELOAD. The file that SYSCALL_FAULTS_CONTROL names is mapped and says what fails; syscall_faults.py
 * has the same layout and changes it while the process runs. The call that fails takes the failure from its counter,
 * so that an exact number of failures is injected. Monotonic clocks are left alone.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS_PER_SECOND 1000000000LL
#define NANOSECONDS_PER_MICROSECOND 1000

struct fault {
    int64_t error;     /* the errno of the calls that fail */
    int64_t remaining; /* how many calls are still to fail */
};

struct control {
    int64_t wall_clock_offset_ns;
    struct fault accept, socket, connect, open;
    int64_t max_read_bytes;  /* a read of a socket returns at most this much; 0: no limit */
    int64_t max_write_bytes; /* a write to a socket takes at most this much; 0: no limit */
    int64_t interrupt_every; /* each n-th read, write and accept is interrupted once; 0: none */
    int64_t injected_count;  /* failures, limits and interruptions so far */
};

static struct control idle_control;
static struct control *control = &idle_control;
static int64_t call_count;

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("SYSCALL_FAULTS_CONTROL");
    if (path == NULL)
        return;
    int descriptor = open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    if (mapped != MAP_FAILED)
        control = mapped;
    close(descriptor);
}

/* Declares `real`: the function of this name that the library stands in front of. */
#define DECLARE_REAL(name)                                          \
    static __typeof__(&name) real;                                  \
    if (real == NULL)                                               \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int64_t load(int64_t *field) { return __atomic_load_n(field, __ATOMIC_RELAXED); }

static void count_injected(void) { __atomic_add_fetch(&control->injected_count, 1, __ATOMIC_RELAXED); }

/* Returns whether this call fails; then errno is set. */
static int fails(struct fault *fault)
{
    if (load(&fault->remaining) <= 0)
        return 0;
    if (__atomic_sub_fetch(&fault->remaining, 1, __ATOMIC_RELAXED) < 0) {
        __atomic_store_n(&fault->remaining, 0, __ATOMIC_RELAXED);
        return 0;
    }
    errno = (int)load(&fault->error);
    count_injected();
    return 1;
}

/* Returns whether this call is interrupted; then errno is set. */
static int is_interrupted(void)
{
    int64_t every = load(&control->interrupt_every);
    if (every <= 0 || __atomic_add_fetch(&call_count, 1, __ATOMIC_RELAXED) % every != 0)
        return 0;
    errno = EINTR;
    count_injected();
    return 1;
}

/* Returns whether a descriptor is a stream socket; errno is kept. */
static int is_socket(int descriptor)
{
    int type;
    socklen_t length = sizeof type;
    int saved_error = errno;
    int has_type = getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
    errno = saved_error;
    return has_type && type == SOCK_STREAM;
}

/* Returns the bytes that a call on a socket may move; the limit counts as injected only where it applies. */
static size_t limited(int descriptor, size_t size, int64_t limit)
{
    if (limit <= 0 || size <= (size_t)limit || !is_socket(descriptor))
        return size;
    count_injected();
    return (size_t)limit;
}

/* ---- the wall clock */

int clock_gettime(clockid_t clock, struct timespec *time)
{
    DECLARE_REAL(clock_gettime);
    int result = real(clock, time);
    int64_t offset = load(&control->wall_clock_offset_ns);
    if (result == 0 && offset != 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t now = time->tv_sec * NANOSECONDS_PER_SECOND + time->tv_nsec + offset;
        time->tv_sec = now / NANOSECONDS_PER_SECOND;
        time->tv_nsec = now % NANOSECONDS_PER_SECOND;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0)
        return -1;
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / NANOSECONDS_PER_MICROSECOND;
    return 0;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL)
        *result = now.tv_sec;
    return now.tv_sec;
}

/* ---- calls that fail */

static int accept_fails(void) { return is_interrupted() || fails(&control->accept); }

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    DECLARE_REAL(accept4);
    return accept_fails() ? -1 : real(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    DECLARE_REAL(accept);
    return accept_fails() ? -1 : real(descriptor, address, length);
}

int socket(int domain, int type, int protocol)
{
    DECLARE_REAL(socket);
    if (fails(&control->socket))
        return -1;
    return real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    DECLARE_REAL(connect);
    if (fails(&control->connect))
        return -1;
    return real(descriptor, address, length);
}

/* Only the configuration fails to open: an interpreter that cannot read its own modules says nothing of the sidecar. */
static int open_fails(const char *path) { return strstr(path, "config.json") != NULL && fails(&control->open); }

/* open and open64 differ in their names alone. */
#define DEFINE_OPEN(name)                                                                  \
    int name(const char *path, int flags, ...)                                             \
    {                                                                                      \
        DECLARE_REAL(name);                                                                \
        va_list arguments;                                                                 \
        va_start(arguments, flags);                                                        \
        mode_t mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(arguments, mode_t) : 0;     \
        va_end(arguments);                                                                 \
        return open_fails(path) ? -1 : real(path, flags, mode);                            \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)

/* ---- reads and writes that are short or interrupted */

ssize_t read(int descriptor, void *buffer, size_t size)
{
    DECLARE_REAL(read);
    if (is_interrupted())
        return -1;
    return real(descriptor, buffer, limited(descriptor, size, load(&control->max_read_bytes)));
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    DECLARE_REAL(recv);
    if (is_interrupted())
        return -1;
    return real(descriptor, buffer, limited(descriptor, size, load(&control->max_read_bytes)), flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    DECLARE_REAL(write);
    if (is_interrupted())
        return -1;
    return real(descriptor, buffer, limited(descriptor, size, load(&control->max_write_bytes)));
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    DECLARE_REAL(send);
    if (is_interrupted())
        return -1;
    return real(descriptor, buffer, limited(descriptor, size, load(&control->max_write_bytes)), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    DECLARE_REAL(writev);
    if (is_interrupted())
        return -1;
    int64_t limit = load(&control->max_write_bytes);
    if (limit > 0 && count > 0 && is_socket(descriptor))
        return write(descriptor, parts[0].iov_base, parts[0].iov_len);
    return real(descriptor, parts, count);
}
