package brambletray.platform.localsystem;

import brambletray.platform.configuration.Route;

/**
 * One request of a client with its attempts: repeatable ones are retried after any failure, others only after a
 * promise that they did not run or if no connection was made; {@code Retry-After} is obeyed for up to a third of the
 * remaining time. Does no I/O; times are steady ms.
 */
final class TrafficRequest {
    /** Tries of one request. */
    static final int TRIES = 4;
    /**
     * ms: the pause where no Retry-After was given, which doubles; the least time left in which another try is of use.
     */
    private static final int PAUSE = 50;

    private static final int LEAST = 100;

    /** What becomes of it. */
    enum End {
        ANSWERED,
        LATE,
        REFUSED,
        FAILED,
        /** The client disconnected early. */
        LEFT
    }

    /** What is done for it. */
    interface Ways {
        /**
         * Sends a try; {@code turn} counts them from 0. One of {@code answered} and {@code broke} follows. Returns the
         * try's id.
         */
        String send(TrafficRequest visit, int turn, int remainingMs);

        /** Calls {@link TrafficRequest#go} after so many ms. */
        void pause(TrafficRequest visit, int ms);

        void over(TrafficRequest visit, End end);
    }

    final Route route;
    final String zone;
    final String method;
    final String path;
    final byte[] body;
    private final int hash;
    private final long began;
    private final ExecutionLedger ledger;
    private final Ways ways;
    private String attempt;
    private int turn;
    private boolean over;
    private boolean refused;

    /** {@code hash}: of the client. */
    TrafficRequest(
            Route route, String zone, int hash, String path, byte[] body, ExecutionLedger ledger, Ways ways, long now) {
        this.route = route;
        this.zone = zone;
        this.hash = hash;
        this.method = route.idempotent() ? "GET" : "POST";
        this.path = path;
        this.body = body;
        this.ledger = ledger;
        this.ways = ways;
        this.began = now;
    }

    int hash() {
        return hash;
    }

    boolean isOver() {
        return over;
    }

    private int left(long now) {
        return (int) (began + route.timeoutMs() - now);
    }

    /** Sends the next try. */
    void go(long now) {
        if (!over) {
            attempt = ways.send(this, turn++, left(now));
        }
    }

    /** Before each try is sent: its id is known to the ledger. */
    void names(String id, String former) {
        if (former == null) {
            ledger.asked(id, route.idempotent());
        } else {
            ledger.again(id, former);
        }
    }

    /** The id of the try before, or null. */
    String attempt() {
        return attempt;
    }

    /** A complete response has arrived. {@code echo}: the id that it carries; {@code retryAfterMs} -1: none. */
    void answered(int status, String echo, String seal, byte[] answer, int retryAfterMs, long now) {
        if (over) {
            return;
        }
        if (status / 100 == 2) {
            if (!attempt.equals(echo) || !ResponseSeal.holds(seal, attempt, method, path, body, answer)) {
                ledger.wrong(attempt + " on " + path + " got " + status + " with another's answer or a wrong one");
                end(End.FAILED);
            } else {
                end(now - began <= route.latencyTargetMs() ? End.ANSWERED : End.LATE);
            }
        } else if (status == 429 || status == 503 || status == 408 || status == 421) {
            ledger.promised(attempt, status);
            refused = true;
            again(retryAfterMs < 0 ? pause() : Math.min(retryAfterMs, left(now) / 3), now);
        } else if (status / 100 == 4 || status / 100 == 3) {
            ledger.wrong(attempt + " on " + path + " was denied with " + status);
            end(End.FAILED);
        } else {
            failed(now);
        }
    }

    /** The try has come to nothing. {@code sent}: a relay may have read it. */
    void broke(boolean sent, long now) {
        if (over) {
            return;
        }
        if (sent) {
            failed(now);
        } else {
            again(pause(), now);
        }
    }

    private void failed(long now) {
        refused = false;
        if (route.idempotent()) {
            again(pause(), now);
        } else {
            end(End.FAILED);
        }
    }

    private int pause() {
        return PAUSE << turn;
    }

    private void again(int pause, long now) {
        if (turn >= TRIES || left(now) - pause < LEAST) {
            end(refused ? End.REFUSED : End.FAILED);
        } else {
            ways.pause(this, Math.max(1, pause));
        }
    }

    /** The client disconnects before its response. {@code waiting}: whether a try was on its way. */
    void left(boolean waiting, long now) {
        if (waiting) {
            ledger.departedClients().onClientLeft(attempt, route.idempotent(), now);
        }
        end(End.LEFT);
    }

    /** The client waits no longer. */
    void expired() {
        end(End.FAILED);
    }

    private void end(End end) {
        if (!over) {
            over = true;
            ways.over(this, end);
        }
    }
}
