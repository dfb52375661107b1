/* Preloaded into a node under test. It makes system calls on IPv4 sockets fail, or transfer few
 * bytes, as the environment variable FAULTS says. It also steps the wall clock by the number of
 * seconds in the file that WALL_STEP names. The monotonic clock is not changed.
 *
 * FAULTS holds entries "call:errno:from:count:every", separated by commas. The calls of that name
 * are counted from 1; from call `from` on, every `every`-th one fails, `count` of them in all. With
 * errno 0 the call succeeds but transfers one byte only. With an errno of 1000 or more the process
 * is stalled for (errno - 1000) milliseconds before the call is made.
 *
 * CALL_LOG names a file to which each send, shutdown and close of a connection appends a line with
 * the call and the peer's port. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum { SHORT = -1, NONE = 0, STALL_BASE = 1000, MAX_CALLS = 8, MAX_RULES = 16 };

struct rule {
    char call[16];
    int error;
    long from, count, every;
};

static struct rule rules[MAX_RULES];
static int rule_count = -1; /* -1 until FAULTS has been read */
static struct { const char *name; long made; } calls[MAX_CALLS];

static void read_rules(void) {
    const char *text = getenv("FAULTS");
    rule_count = 0;
    while (text && *text && rule_count < MAX_RULES) {
        struct rule *rule = &rules[rule_count];
        if (sscanf(text, "%15[^:]:%d:%ld:%ld:%ld", rule->call, &rule->error, &rule->from, &rule->count,
                   &rule->every) == 5)
            rule_count++;
        text = strchr(text, ',');
        text = text ? text + 1 : NULL;
    }
}

/* Counts a call of this name and returns its fault: an errno, SHORT or NONE. */
static int next_fault(const char *name) {
    if (rule_count < 0)
        read_rules();
    long made = 0;
    for (int i = 0; i < MAX_CALLS; i++) {
        if (!calls[i].name)
            calls[i].name = name;
        if (strcmp(calls[i].name, name) == 0) {
            made = ++calls[i].made;
            break;
        }
    }
    for (int i = 0; i < rule_count; i++) {
        const struct rule *rule = &rules[i];
        long since = made - rule->from;
        if (strcmp(rule->call, name) != 0 || since < 0 || since % rule->every != 0
            || since / rule->every >= rule->count)
            continue;
        if (rule->error >= STALL_BASE) {
            usleep((rule->error - STALL_BASE) * 1000);
            continue;
        }
        return rule->error ? rule->error : SHORT;
    }
    return NONE;
}

static int is_ipv4(int fd) {
    int domain = 0, saved_errno = errno;
    socklen_t size = sizeof domain;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = saved_errno;
    return known && domain == AF_INET;
}

/* Appends a call on a connection to CALL_LOG. */
static void log_call(const char *call, int fd) {
    const char *file = getenv("CALL_LOG");
    struct sockaddr_in peer = {0};
    socklen_t size = sizeof peer;
    int saved_errno = errno;
    if (file && getpeername(fd, (struct sockaddr *)&peer, &size) == 0 && peer.sin_family == AF_INET) {
        char line[64];
        int length = snprintf(line, sizeof line, "%s %d\n", call, ntohs(peer.sin_port));
        int log = open(file, O_WRONLY | O_APPEND | O_CREAT, 0600);
        if (log >= 0 && write(log, line, length) < 0)
            perror(file);
        syscall(SYS_close, log);
    }
    errno = saved_errno;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF(fault) do { int error_ = (fault); if (error_ > 0) { errno = error_; return -1; } } while (0)

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET)
        FAIL_IF(next_fault("socket"));
    return REAL(socket)(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *to, socklen_t size) {
    FAIL_IF(next_fault("bind"));
    return REAL(bind)(fd, to, size);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    FAIL_IF(next_fault("connect"));
    return REAL(connect)(fd, to, size);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
    FAIL_IF(next_fault("accept4"));
    return REAL(accept4)(fd, from, size, flags);
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
    int fault = is_ipv4(fd) ? next_fault(flags & MSG_PEEK ? "peek" : "recv") : NONE;
    FAIL_IF(fault);
    return REAL(recv)(fd, to, fault == SHORT && size > 1 ? 1 : size, flags);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    int fault = is_ipv4(fd) ? next_fault("send") : NONE;
    FAIL_IF(fault);
    log_call("send", fd);
    return REAL(send)(fd, from, fault == SHORT && size > 1 ? 1 : size, flags);
}

int shutdown(int fd, int how) {
    log_call("shutdown", fd);
    return REAL(shutdown)(fd, how);
}

int close(int fd) {
    log_call("close", fd);
    return REAL(close)(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = (int)syscall(SYS_clock_gettime, clock, now);
    const char *file = clock == CLOCK_REALTIME ? getenv("WALL_STEP") : NULL;
    int fd = file ? open(file, O_RDONLY) : -1;
    if (fd >= 0) {
        char text[32] = {0};
        if (read(fd, text, sizeof text - 1) > 0)
            now->tv_sec += atol(text);
        close(fd);
    }
    return result;
}
