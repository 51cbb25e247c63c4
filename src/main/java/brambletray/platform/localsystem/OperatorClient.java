package brambletray.platform.localsystem;

import brambletray.common.runtime.Clock;
import brambletray.platform.settings.Address;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

/**
 * Calls the control-plane addresses as an operator does; blocks. What to do after each answer says {@link
 * OperatorCallRetries}.
 */
public final class OperatorClient {
    /** ms of silence after which another relay is asked; one more for so many bytes of a body. */
    private static final int SILENCE = 1_000;

    private static final int BYTES_A_MS = 100;

    private static final String BASE = "Brambletray-Base-Revision";
    private static final String CONFIGURATION = "/brambletray/configuration/";

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofMillis(SILENCE))
            .build();
    private final Clock clock = Clock.system();
    private final List<Address> relays;
    private final int waitMs;

    /** {@code body}: as it came; {@code from}: who gave this answer. */
    public record Reply(int status, byte[] body, String from) {}

    /** {@code relays}: control-plane addresses, at least one; {@code waitMs}: for a clear answer. */
    public OperatorClient(List<Address> relays, int waitMs) {
        this.relays = relays;
        this.waitMs = waitMs;
    }

    /** The newest configuration. */
    public Reply show() {
        return call("GET", CONFIGURATION + "show", null, null);
    }

    /**
     * {@code verb}: replace or modify; the answer, or {@link LocalSystemException} where there is no clear one in time.
     */
    public Reply deliver(String verb, long base, byte[] body) {
        return call("POST", CONFIGURATION + verb, Long.toString(base), body);
    }

    /** A call that any relay may answer. */
    public Reply get(String path) {
        return call("GET", path, null, null);
    }

    private Reply call(String method, String path, String base, byte[] body) {
        long until = now() + waitMs;
        OperatorCallRetries rounds = new OperatorCallRetries(relays.size(), 0);
        OperatorCallRetries.Step step = rounds.first();
        Reply reply = null;
        String trouble = "";
        while (!(step instanceof OperatorCallRetries.Step.End)) {
            String url;
            if (step instanceof OperatorCallRetries.Step.Follow follow) {
                url = follow.location();
            } else {
                OperatorCallRetries.Step.Ask ask = (OperatorCallRetries.Step.Ask) step;
                LockSupport.parkNanos(ask.pauseMs() * 1_000_000L);
                url = "http://" + relays.get(ask.relay()) + path;
            }
            if (now() >= until || Thread.currentThread().isInterrupted()) {
                throw new LocalSystemException("no-answer", "no clear answer in " + waitMs + " ms" + trouble, null);
            }
            String location = null;
            try {
                HttpResponse<byte[]> answer =
                        client.send(request(method, url, base, body), HttpResponse.BodyHandlers.ofByteArray());
                reply = new Reply(
                        answer.statusCode(), answer.body(), answer.uri().getAuthority());
                location = answer.headers().firstValue("Location").orElse(null);
                trouble = "; the last: " + answer.statusCode() + " from " + reply.from + ' '
                        + JsonValues.reason(answer.body());
            } catch (IOException | IllegalArgumentException e) {
                reply = null;
                trouble = "; the last: " + url.substring(0, Math.min(60, url.length())) + ": "
                        + e.getClass().getSimpleName();
            } catch (InterruptedException e) {
                throw new LocalSystemException("interrupted", "interrupted", e);
            }
            step = rounds.next(reply == null ? 0 : reply.status, location);
        }
        return reply;
    }

    private static HttpRequest request(String method, String url, String base, byte[] body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(Duration.ofMillis(SILENCE + (body == null ? 0 : body.length / BYTES_A_MS)));
        if (base != null) {
            request.header(BASE, base).header("Content-Type", "application/json");
        }
        return request.method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    /** One member's own answer, without going on to others; status 0: none within {@code ms}. Doesn't block. */
    public CompletableFuture<Reply> ask(Address member, String path, int ms) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + member + path))
                .timeout(Duration.ofMillis(ms))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, fault) -> fault != null
                        ? new Reply(0, new byte[0], member.toString())
                        : new Reply(answer.statusCode(), answer.body(), member.toString()));
    }

    /**
     * Gives one member an order, without going on to others; status 0: no answer within {@code ms}, and the order may
     * have been carried out.
     */
    public Reply order(Address member, String path, byte[] body, int ms) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + member + path))
                .timeout(Duration.ofMillis(ms))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, fault) -> fault != null
                        ? new Reply(0, new byte[0], member.toString())
                        : new Reply(answer.statusCode(), answer.body(), member.toString()))
                .join();
    }

    private long now() {
        return clock.nanos() / 1_000_000;
    }
}
