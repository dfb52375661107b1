/* Preloaded into a node under test. Makes system calls on IPv4 sockets fail, or move few bytes, as the variable FAULTS
 * says, and steps the wall clock by the seconds that stand in the file WALL_STEP names. The monotonic clock is left alone.
 *
 * FAULTS holds entries "call:errno:from:count:every", separated by commas: of the calls of that name, counted from 1, those
 * from `from` on fail, `count` of them, each `every`-th. The errno 0 makes a call short instead: one byte. An errno of 1000
 * and more holds the process up for what is beyond 1000, in milliseconds, before the call is made.
 *
 * CALL_LOG names a file that gets a line for each send, shutdown and close of a connection: the call and the peer's port. */
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

enum { SHORT = -1, NONE = 0, HELD_UP = 1000, CALLS = 8, RULES = 16 };

struct rule {
    char call[16];
    int error;
    long from, count, every;
};

static struct rule rules[RULES];
static int rules_read = -1;
static struct { const char *name; long made; } calls[CALLS];

static void read_rules(void) {
    const char *text = getenv("FAULTS");
    rules_read = 0;
    while (text && *text && rules_read < RULES) {
        struct rule *rule = &rules[rules_read];
        if (sscanf(text, "%15[^:]:%d:%ld:%ld:%ld", rule->call, &rule->error, &rule->from, &rule->count,
                   &rule->every) == 5)
            rules_read++;
        text = strchr(text, ',');
        text = text ? text + 1 : NULL;
    }
}

/* What this call of that name is to come to: an errno, SHORT or NONE. */
static int fault(const char *name) {
    if (rules_read < 0)
        read_rules();
    long made = 0;
    for (int i = 0; i < CALLS; i++) {
        if (!calls[i].name)
            calls[i].name = name;
        if (strcmp(calls[i].name, name) == 0) {
            made = ++calls[i].made;
            break;
        }
    }
    for (int i = 0; i < rules_read; i++) {
        const struct rule *rule = &rules[i];
        long since = made - rule->from;
        if (strcmp(rule->call, name) != 0 || since < 0 || since % rule->every != 0
            || since / rule->every >= rule->count)
            continue;
        if (rule->error >= HELD_UP) {
            usleep((rule->error - HELD_UP) * 1000);
            continue;
        }
        return rule->error ? rule->error : SHORT;
    }
    return NONE;
}

static int is_ipv4(int fd) {
    int domain = 0, failed = errno;
    socklen_t size = sizeof domain;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = failed;
    return known && domain == AF_INET;
}

static void note(const char *call, int fd) {
    const char *file = getenv("CALL_LOG");
    struct sockaddr_in peer = {0};
    socklen_t size = sizeof peer;
    int failed = errno;
    if (file && getpeername(fd, (struct sockaddr *)&peer, &size) == 0 && peer.sin_family == AF_INET) {
        char line[64];
        int length = snprintf(line, sizeof line, "%s %d\n", call, ntohs(peer.sin_port));
        int log = open(file, O_WRONLY | O_APPEND | O_CREAT, 0600);
        if (log >= 0 && write(log, line, length) < 0)
            perror(file);
        syscall(SYS_close, log);
    }
    errno = failed;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF(what) do { int error_ = (what); if (error_ > 0) { errno = error_; return -1; } } while (0)

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET)
        FAIL_IF(fault("socket"));
    return REAL(socket)(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *to, socklen_t size) {
    FAIL_IF(fault("bind"));
    return REAL(bind)(fd, to, size);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    FAIL_IF(fault("connect"));
    return REAL(connect)(fd, to, size);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
    FAIL_IF(fault("accept4"));
    return REAL(accept4)(fd, from, size, flags);
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
    int what = is_ipv4(fd) ? fault(flags & MSG_PEEK ? "peek" : "recv") : NONE;
    FAIL_IF(what);
    return REAL(recv)(fd, to, what == SHORT && size > 1 ? 1 : size, flags);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    int what = is_ipv4(fd) ? fault("send") : NONE;
    FAIL_IF(what);
    note("send", fd);
    return REAL(send)(fd, from, what == SHORT && size > 1 ? 1 : size, flags);
}

int shutdown(int fd, int how) {
    note("shutdown", fd);
    return REAL(shutdown)(fd, how);
}

int close(int fd) {
    note("close", fd);
    return REAL(close)(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int told = (int)syscall(SYS_clock_gettime, clock, now);
    const char *file = clock == CLOCK_REALTIME ? getenv("WALL_STEP") : NULL;
    int fd = file ? open(file, O_RDONLY) : -1;
    if (fd >= 0) {
        char text[32] = {0};
        if (read(fd, text, sizeof text - 1) > 0)
            now->tv_sec += atol(text);
        close(fd);
    }
    return told;
}
