package brambletray.relay.http.clients;

import brambletray.common.runtime.Clock;
import brambletray.relay.control.Relay;
import brambletray.relay.core.MessageReceiver;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;

/** Reads the message that a request hands in, by the protocol's section on clients and relays. */
record Submission(MessageReceiver intake, Clock clock) {
    private static final int ID_MOST = 128;
    private static final int KEY_MOST = 256;
    /** ms; a longer time for a message is taken for a mistake. */
    private static final long TIME_MOST = 3_600_000;
    /**
     * ms; a message's time counts from when its client sent it, and the relay may read it late, though not
     * later than the client waits (400 ms). It is ended by so much earlier (a tenth of short times) that its
     * notice comes within the 300 ms past its time also where a starved relay read it as late as that.
     */
    private static final long READ_LATE = 250;

    /** The message of a request to this path. */
    Message message(FullHttpRequest request, String path) throws Bad {
        HttpHeaders headers = request.headers();
        String[] parts = path.split("/");
        String name = headers.get("X-Priority-Class", parts.length > 1 ? parts[1] : "");
        if (parts.length < 2 || !parts[1].equals(name)) {
            throw new Bad(HttpResponseStatus.NOT_FOUND, "path and class differ");
        }
        Relay.MessageClass kind = intake.messageClass(name);
        if (kind == null) {
            throw new Bad(HttpResponseStatus.NOT_FOUND, "unknown class");
        }
        long destination = destination(headers.get("X-Envelope", ""));
        if (!intake.isRoutable(name, destination)) {
            throw new Bad(HttpResponseStatus.NOT_FOUND, "unknown destination " + destination);
        }
        String key = text(headers, "Idempotency-Key", KEY_MOST, kind.effect() == Relay.Effect.KEYED);
        long time = whole(text(headers, "X-Timeout-Ms", ID_MOST, true), "X-Timeout-Ms");
        if (time < 1 || time > TIME_MOST) {
            throw new Bad("X-Timeout-Ms is not within 1 to " + TIME_MOST);
        }
        String tenant = text(headers, "X-Tenant-Id", ID_MOST, false);
        return new Message(
                text(headers, "X-Request-ID", ID_MOST, true),
                name,
                tenant == null ? 0 : intake.tenant(tenant),
                text(headers, "X-Route-Key", KEY_MOST, false),
                key,
                destination,
                clock.unixMillis() + time - Math.min(READ_LATE, time / 10),
                Body.of(ByteBufUtil.getBytes(request.content())));
    }

    private static String text(HttpHeaders headers, String name, int most, boolean needed) throws Bad {
        String value = headers.get(name);
        if (value == null ? needed : value.isEmpty() || value.length() > most) {
            throw new Bad(name + " is missing, empty or too long");
        }
        return value;
    }

    private static long destination(String envelope) throws Bad {
        for (String pair : envelope.split("[,;]")) {
            if (pair.strip().toLowerCase(Locale.ROOT).startsWith("dest=")) {
                return whole(pair.strip().substring(5), "dest");
            }
        }
        throw new Bad("X-Envelope names no dest");
    }

    private static long whole(String text, String name) throws Bad {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new Bad(name + " is not a whole number");
        }
    }
}
