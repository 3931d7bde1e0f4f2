/* Fault injection for one process, loaded with LD_PRELOAD.
 *
 * The table is a file shared with the test, named by ONYXPULLEY_SHIM_TABLE. Each rule makes one kind of call fail,
 * or move fewer bytes, until its count is used up. Without a table every call passes. Layout: see soak/shim.py.
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

enum call { SOCKET, CONNECT, ACCEPT, RECV, SEND, LOG_WRITE, FILE_WRITE, CLOSE, SETSOCKOPT, FSYNC, RENAME, CREATE, OPEN, CALLS };

struct rule {
    int32_t error;   /* errno that the call gives; 0: the call passes with at most `longest` bytes */
    int32_t every;   /* each how many-th call; 1: all */
    int32_t left;    /* how many more; 0: the rule is off */
    int32_t port;    /* local port of the socket; negative: any but that one; 0: any */
    int32_t longest; /* bytes of a short read or write */
    int32_t seen, hits, spare;
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
    void *at = mmap(NULL, sizeof(struct table), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    table = at == MAP_FAILED ? NULL : at;
    syscall(3, file); /* close(2), past the function below */
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

/* The rule that takes this call, or NULL. */
static struct rule *struck(enum call call, int fd) {
    if (!table)
        return NULL;
    struct rule *rule = &table->rules[call];
    if (!rule->left)
        return NULL;
    int saved = errno;
    int matches = !rule->port || (rule->port > 0 ? local_port(fd) == rule->port : local_port(fd) != -rule->port);
    errno = saved;
    if (!matches || ++rule->seen % (rule->every > 0 ? rule->every : 1))
        return NULL;
    if (rule->left > 0)
        rule->left--;
    rule->hits++;
    return rule;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF_STRUCK(call, fd)                \
    do {                                        \
        struct rule *rule = struck((call), (fd)); \
        if (rule && rule->error) {              \
            errno = rule->error;                \
            return -1;                          \
        }                                       \
    } while (0)

/* As above for calls that move bytes: a rule without an error shortens them. */
#define FAIL_OR_SHORTEN(call, fd, length)       \
    do {                                        \
        struct rule *rule = struck((call), (fd)); \
        if (rule && rule->error) {              \
            errno = rule->error;                \
            return -1;                          \
        }                                       \
        if (rule && (length) > (size_t)rule->longest) \
            (length) = rule->longest;           \
    } while (0)

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (!real)
        real = REAL(socket);
    FAIL_IF_STRUCK(SOCKET, -1);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real)
        real = REAL(connect);
    FAIL_IF_STRUCK(CONNECT, fd);
    return real(fd, address, length);
}

/* A connection that failed to be accepted with ECONNABORTED is gone from the queue; other errors leave it there. */
int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = REAL(accept4);
    FAIL_IF_STRUCK(ACCEPT, fd);
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

static int is_file(int fd) {
    struct stat info;
    return fstat(fd, &info) == 0 && S_ISREG(info.st_mode);
}

ssize_t write(int fd, const void *data, size_t length) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real)
        real = REAL(write);
    if (fd == STDERR_FILENO)
        FAIL_OR_SHORTEN(LOG_WRITE, -1, length);
    else if (table && table->rules[FILE_WRITE].left && is_file(fd))
        FAIL_OR_SHORTEN(FILE_WRITE, -1, length);
    return real(fd, data, length);
}

/* Linux frees the descriptor whatever close says. */
int close(int fd) {
    static int (*real)(int);
    if (!real)
        real = REAL(close);
    struct stat info;
    int socket = table && table->rules[CLOSE].left && fstat(fd, &info) == 0 && S_ISSOCK(info.st_mode);
    struct rule *rule = socket ? struck(CLOSE, fd) : NULL;
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
    FAIL_IF_STRUCK(SETSOCKOPT, fd);
    return real(fd, level, name, value, length);
}

int fsync(int fd) {
    static int (*real)(int);
    if (!real)
        real = REAL(fsync);
    FAIL_IF_STRUCK(FSYNC, -1);
    return real(fd);
}

int rename(const char *from, const char *to) {
    static int (*real)(const char *, const char *);
    if (!real)
        real = REAL(rename);
    FAIL_IF_STRUCK(RENAME, -1);
    return real(from, to);
}

/* Of files that are there, only configurations: an interpreter that cannot read its own library never starts. */
static int is_configuration(const char *path) {
    size_t length = strlen(path);
    return length > 5 && (!strcmp(path + length - 5, ".json") || !strcmp(path + length - 5, ".toml"));
}

static int opened(const char *path, int flags, mode_t mode) {
    static int (*real)(const char *, int, ...);
    if (!real)
        real = REAL(open);
    if (flags & O_CREAT || is_configuration(path))
        FAIL_IF_STRUCK(flags & O_CREAT ? CREATE : OPEN, -1);
    return real(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    return opened(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    return opened(path, flags, mode);
}

static void step(struct timespec *at) {
    int64_t sum = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + table->clock_step;
    at->tv_sec = sum / 1000000000;
    at->tv_nsec = sum % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = REAL(clock_gettime);
    int result = real(clock, at);
    if (result == 0 && clock == CLOCK_REALTIME && table && table->clock_step)
        step(at);
    return result;
}
