package brambletray.relay.http.hosts;

import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.CallReply;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;

/** The protocol's table of what a host's answer means. */
final class Answers {
    /** A share left or a limit in calls a second beyond these is no report; nor is a wait (s) beyond that. */
    private static final double SHARE_MOST = 10;

    private static final double LIMIT_MOST = 100_000;
    private static final double WAIT_MOST = 3_600;

    private Answers() {}

    static CallReply reply(HttpResponse answer, long latency) {
        long wait = 0;
        boolean over = false;
        Outcome outcome;
        switch (answer.status().code()) {
            case 200 -> {
                outcome = Outcome.OK;
                over = true;
            }
            case 429, 503 -> {
                outcome = answer.headers().contains("X-No-Slot") ? Outcome.NOT_SENT : Outcome.FULL;
                wait = outcome == Outcome.FULL ? micros(answer.headers().get(HttpHeaderNames.RETRY_AFTER)) : 0;
            }
            case 504 -> outcome = Outcome.NOT_SENT;
            case 410 -> {
                outcome = Outcome.NOT_SENT;
                over = true;
            }
            default -> outcome = Outcome.ERROR;
        }
        String load = answer.headers().get("X-Server-Load");
        return new CallReply(
                outcome, over, wait, latency, field(load, "x0", SHARE_MOST), field(load, "x1", LIMIT_MOST));
    }

    /**
     * The same for a call of several messages, before its body is read: what that says of each comes on top
     * of a 200, whose wait binds like a refusal's. 400 and 413 tell that the call was not to be read, and
     * that none of it has run.
     */
    static CallReply batchReply(HttpResponse answer, long latency) {
        CallReply reply = reply(answer, latency);
        return switch (answer.status().code()) {
            case 200 ->
                new CallReply(
                        Outcome.OK,
                        false,
                        micros(answer.headers().get(HttpHeaderNames.RETRY_AFTER)),
                        latency,
                        reply.remaining(),
                        reply.limit());
            case 400, 413 -> reply.withOutcome(Outcome.NOT_SENT, false);
            case 504, 410 -> reply.withOutcome(Outcome.ERROR, false);
            default -> reply;
        };
    }

    /** Decimal seconds in microseconds, rounded up lest a wait be cut short; 0 if untold or not a number. */
    private static long micros(String seconds) {
        double value = number(seconds);
        return value > 0 && value <= WAIT_MOST ? (long) Math.ceil(value * 1e6) : 0;
    }

    private static double field(String load, String name, double most) {
        for (String pair : load == null ? new String[0] : load.split(",")) {
            if (pair.strip().startsWith(name + "=")) {
                double value = number(pair.substring(pair.indexOf('=') + 1));
                return value >= 0 && value <= most ? value : -1;
            }
        }
        return -1;
    }

    private static double number(String text) {
        try {
            double value = text == null ? -1 : Double.parseDouble(text.strip());
            return Double.isFinite(value) ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
