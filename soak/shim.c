/* Fault injection for one process, loaded with LD_PRELOAD.
 *
 * ONYXPULLEY_SHIM_TABLE names a file that the process maps and the test changes. Each rule makes one kind of
 * call fail, or move fewer bytes, until its count is used up. Without a table no call is affected. soak/shim.py
 * writes the same layout.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call {
    SOCKET,
    CONNECT,
    ACCEPT,
    RECV,
    SEND,
    LOG_WRITE,
    FILE_WRITE,
    CLOSE,
    SETSOCKOPT,
    FSYNC,
    RENAME,
    CREATE,
    OPEN,
    CALLS, /* number of calls */
};

struct rule {
    int32_t error;     /* errno to set; 0: the call moves at most `max_bytes` bytes */
    int32_t every;     /* one in this many calls is affected; 1: all */
    int32_t remaining; /* calls still to be affected; negative: no limit; 0: the rule is off */
    int32_t port;      /* local port of the socket; negative: all but this one; 0: all */
    int32_t max_bytes; /* of a shortened read or write */
    int32_t seen;      /* matching calls */
    int32_t hits;      /* affected calls */
    int32_t reserved;
};

struct table {
    struct rule rules[CALLS];
    int64_t clock_step; /* nanoseconds added to the wall clock */
};

static struct table *table;

__attribute__((constructor)) static void map_table(void) {
    const char *path = getenv("ONYXPULLEY_SHIM_TABLE");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct table), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    table = mapped == MAP_FAILED ? NULL : mapped;
    syscall(3, file); /* close(2), without the wrapper below */
}

static int local_port(int fd) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    if (fd < 0 || getsockname(fd, (struct sockaddr *)&address, &length) < 0)
        return 0;
    if (address.ss_family == AF_INET)
        return ntohs(((struct sockaddr_in *)&address)->sin_port);
    return 0;
}

/* Counts the call and returns the rule that affects it, or NULL. */
static struct rule *match_rule(enum call call, int fd) {
    if (!table)
        return NULL;
    struct rule *rule = &table->rules[call];
    if (!rule->remaining)
        return NULL;
    int saved_errno = errno;
    int matches = !rule->port || (rule->port > 0 ? local_port(fd) == rule->port : local_port(fd) != -rule->port);
    errno = saved_errno;
    if (!matches || ++rule->seen % (rule->every > 0 ? rule->every : 1))
        return NULL;
    if (rule->remaining > 0)
        rule->remaining--;
    rule->hits++;
    return rule;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF_MATCHED(call, fd)                       \
    do {                                                \
        struct rule *rule = match_rule((call), (fd));   \
        if (rule && rule->error) {                      \
            errno = rule->error;                        \
            return -1;                                  \
        }                                               \
    } while (0)

/* The same for calls that move bytes; a rule without an error reduces `length`. */
#define FAIL_OR_SHORTEN(call, fd, length)               \
    do {                                                \
        struct rule *rule = match_rule((call), (fd));   \
        if (rule && rule->error) {                      \
            errno = rule->error;                        \
            return -1;                                  \
        }                                               \
        if (rule && (length) > (size_t)rule->max_bytes) \
            (length) = rule->max_bytes;                 \
    } while (0)

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (!real)
        real = REAL(socket);
    FAIL_IF_MATCHED(SOCKET, -1);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real)
        real = REAL(connect);
    FAIL_IF_MATCHED(CONNECT, fd);
    return real(fd, address, length);
}

/* On Linux, ECONNABORTED removes the connection from the queue, while other errors leave it there. */
int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = REAL(accept4);
    FAIL_IF_MATCHED(ACCEPT, fd);
    return real(fd, address, length, flags);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    if (!real)
        real = REAL(recv);
    FAIL_OR_SHORTEN(RECV, fd, length);
    return real(fd, data, length, flags);
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    if (!real)
        real = REAL(send);
    FAIL_OR_SHORTEN(SEND, fd, length);
    return real(fd, data, length, flags);
}

static int is_regular_file(int fd) {
    struct stat info;
    return fstat(fd, &info) == 0 && S_ISREG(info.st_mode);
}

ssize_t write(int fd, const void *data, size_t length) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real)
        real = REAL(write);
    if (fd == STDERR_FILENO)
        FAIL_OR_SHORTEN(LOG_WRITE, -1, length);
    else if (table && table->rules[FILE_WRITE].remaining && is_regular_file(fd))
        FAIL_OR_SHORTEN(FILE_WRITE, -1, length);
    return real(fd, data, length);
}

/* Linux frees the descriptor even if close fails. */
int close(int fd) {
    static int (*real)(int);
    if (!real)
        real = REAL(close);
    struct stat info;
    int is_socket = table && table->rules[CLOSE].remaining && fstat(fd, &info) == 0 && S_ISSOCK(info.st_mode);
    struct rule *rule = is_socket ? match_rule(CLOSE, fd) : NULL;
    int result = real(fd);
    if (rule && rule->error) {
        errno = rule->error;
        return -1;
    }
    return result;
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    static int (*real)(int, int, int, const void *, socklen_t);
    if (!real)
        real = REAL(setsockopt);
    FAIL_IF_MATCHED(SETSOCKOPT, fd);
    return real(fd, level, name, value, length);
}

int fsync(int fd) {
    static int (*real)(int);
    if (!real)
        real = REAL(fsync);
    FAIL_IF_MATCHED(FSYNC, -1);
    return real(fd);
}

int rename(const char *from, const char *to) {
    static int (*real)(const char *, const char *);
    if (!real)
        real = REAL(rename);
    FAIL_IF_MATCHED(RENAME, -1);
    return real(from, to);
}

/* Of existing files only configurations fail: an interpreter that cannot read its library never starts. */
static int is_configuration(const char *path) {
    size_t length = strlen(path);
    return length > 5 && (!strcmp(path + length - 5, ".json") || !strcmp(path + length - 5, ".toml"));
}

static int open_file(const char *path, int flags, mode_t mode) {
    static int (*real)(const char *, int, ...);
    if (!real)
        real = REAL(open);
    if (flags & O_CREAT || is_configuration(path))
        FAIL_IF_MATCHED(flags & O_CREAT ? CREATE : OPEN, -1);
    return real(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_file(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_file(path, flags, mode);
}

static void add_clock_step(struct timespec *time) {
    int64_t nanoseconds = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + table->clock_step;
    time->tv_sec = nanoseconds / 1000000000;
    time->tv_nsec = nanoseconds % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && table && table->clock_step)
        add_clock_step(time);
    return result;
}
