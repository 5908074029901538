/* Makes system calls of one process fail as Linux documents, and steps its wall clock.
 *
 * The library is loaded with LD_PRELOAD. It maps the control file whose path is in SYSCALL_FAULTS_CONTROL and
 * which holds the faults. syscall_faults.py uses the same layout and changes the file while the process runs.
 * Each call that fails decrements the counter of remaining failures, so that an exact number of failures is
 * injected. Monotonic clocks are not changed.
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
    int64_t error;     /* errno of the calls that fail */
    int64_t remaining; /* number of calls still to fail */
};

/* The control file. Its fields have the order of _Field in syscall_faults.py. */
struct control {
    int64_t wall_clock_offset_ns;
    struct fault accept, socket, connect, open;
    int64_t max_read_bytes;  /* most bytes that a read of a socket returns; 0: no limit */
    int64_t max_write_bytes; /* most bytes that a write to a socket takes; 0: no limit */
    int64_t interrupt_every; /* every n-th read, write or accept is interrupted; 0: none */
    int64_t injected_count;  /* failures, short transfers and interruptions so far */
};

/* Used without a control file; all its fields are 0, so nothing fails. */
static struct control inactive_control;
static struct control *control = &inactive_control;
static int64_t interruptible_call_count;

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

/* Declares `real_function`, the original of the function that this library replaces. */
#define DECLARE_REAL(name)                  \
    static __typeof__(&name) real_function; \
    if (real_function == NULL)              \
        real_function = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int64_t load_field(int64_t *field) { return __atomic_load_n(field, __ATOMIC_RELAXED); }

static void count_injected(void) { __atomic_add_fetch(&control->injected_count, 1, __ATOMIC_RELAXED); }

/* Returns whether this call has to fail. If so, sets errno and decrements the remaining failures. */
static int inject_failure(struct fault *fault)
{
    if (load_field(&fault->remaining) <= 0)
        return 0;
    if (__atomic_sub_fetch(&fault->remaining, 1, __ATOMIC_RELAXED) < 0) {
        __atomic_store_n(&fault->remaining, 0, __ATOMIC_RELAXED);
        return 0;
    }
    errno = (int)load_field(&fault->error);
    count_injected();
    return 1;
}

/* Returns whether this call has to be interrupted. If so, sets errno to EINTR. */
static int inject_interruption(void)
{
    int64_t interval = load_field(&control->interrupt_every);
    if (interval <= 0 || __atomic_add_fetch(&interruptible_call_count, 1, __ATOMIC_RELAXED) % interval != 0)
        return 0;
    errno = EINTR;
    count_injected();
    return 1;
}

/* Returns whether a descriptor is a stream socket. Does not change errno. */
static int is_socket(int descriptor)
{
    int type;
    socklen_t length = sizeof type;
    int saved_error = errno;
    int has_type = getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
    errno = saved_error;
    return has_type && type == SOCK_STREAM;
}

/* Returns how many bytes a call may transfer. The limit counts as injected only if it shortens a transfer. */
static size_t limit_transfer(int descriptor, size_t size, int64_t limit)
{
    if (limit <= 0 || size <= (size_t)limit || !is_socket(descriptor))
        return size;
    count_injected();
    return (size_t)limit;
}

/* ---- The wall clock */

int clock_gettime(clockid_t clock, struct timespec *time)
{
    DECLARE_REAL(clock_gettime);
    int result = real_function(clock, time);
    int64_t offset = load_field(&control->wall_clock_offset_ns);
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

/* ---- Calls that fail */

static int inject_accept_failure(void) { return inject_interruption() || inject_failure(&control->accept); }

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    DECLARE_REAL(accept4);
    return inject_accept_failure() ? -1 : real_function(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    DECLARE_REAL(accept);
    return inject_accept_failure() ? -1 : real_function(descriptor, address, length);
}

int socket(int domain, int type, int protocol)
{
    DECLARE_REAL(socket);
    if (inject_failure(&control->socket))
        return -1;
    return real_function(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    DECLARE_REAL(connect);
    if (inject_failure(&control->connect))
        return -1;
    return real_function(descriptor, address, length);
}

/* Only the configuration file fails to open. An interpreter that cannot read its own modules would fail for a
 * reason that has nothing to do with the sidecar.
 */
static int inject_open_failure(const char *path)
{
    return strstr(path, "config.json") != NULL && inject_failure(&control->open);
}

/* Defines open or open64, which differ only in their names. */
#define DEFINE_OPEN(name)                                                              \
    int name(const char *path, int flags, ...)                                         \
    {                                                                                  \
        DECLARE_REAL(name);                                                            \
        va_list arguments;                                                             \
        va_start(arguments, flags);                                                    \
        mode_t mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(arguments, mode_t) : 0; \
        va_end(arguments);                                                             \
        return inject_open_failure(path) ? -1 : real_function(path, flags, mode);      \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)

/* ---- Reads and writes that are shortened or interrupted */

ssize_t read(int descriptor, void *buffer, size_t size)
{
    DECLARE_REAL(read);
    if (inject_interruption())
        return -1;
    return real_function(descriptor, buffer,
                         limit_transfer(descriptor, size, load_field(&control->max_read_bytes)));
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    DECLARE_REAL(recv);
    if (inject_interruption())
        return -1;
    return real_function(descriptor, buffer,
                         limit_transfer(descriptor, size, load_field(&control->max_read_bytes)), flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    DECLARE_REAL(write);
    if (inject_interruption())
        return -1;
    return real_function(descriptor, buffer,
                         limit_transfer(descriptor, size, load_field(&control->max_write_bytes)));
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    DECLARE_REAL(send);
    if (inject_interruption())
        return -1;
    return real_function(descriptor, buffer,
                         limit_transfer(descriptor, size, load_field(&control->max_write_bytes)), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    DECLARE_REAL(writev);
    if (inject_interruption())
        return -1;
    int64_t limit = load_field(&control->max_write_bytes);
    if (limit > 0 && count > 0 && is_socket(descriptor))
        return write(descriptor, parts[0].iov_base, parts[0].iov_len);
    return real_function(descriptor, parts, count);
}
