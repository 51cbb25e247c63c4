package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;

/** The client's side of one request: its connection, and the one answer that it gets. */
final class ClientReply {
    private final RequestRouter router;
    private final ClientRequest clientRequest;
    private final String id;
    private final String service;
    /** Null once it has its answer or is gone. */
    private ClientConnection client;
    /** Where the answer comes from that is given on as it comes. */
    private HostExchange streamingExchange;

    /** {@code id}: of the client's attempt; {@code service}: for the log. */
    ClientReply(RequestRouter router, ClientConnection client, ClientRequest clientRequest, String id, String service) {
        this.router = router;
        this.client = client;
        this.clientRequest = clientRequest;
        this.id = id;
        this.service = service;
    }

    /** Whether the client is there and its answer is not complete. */
    boolean isOpen() {
        return client != null;
    }

    /** The client is gone; nobody reads what still comes. */
    void onClientGone() {
        router.counters().clientsGone++;
        detachClient();
        onClientWritable();
    }

    /** The client can take more of an answer. */
    void onClientWritable() {
        if (streamingExchange != null) {
            streamingExchange.resume();
        }
    }

    /** The client, for its last word. */
    private ClientConnection detachClient() {
        ClientConnection to = client;
        client = null;
        router.onAnswered();
        return to;
    }

    // ---- Answers of instances -------------------------------------------------------------------
    void pass(HostResponse response) {
        detachClient().writeResponse(response);
    }

    /** What an earlier attempt of the operation was answered; 503 where no memory is left for it. */
    void passRecorded(RecordedAnswer answer) {
        HostResponse response = answer.toResponse(id, clientRequest.isHeadRequest(), router.memoryBudget());
        if (response == null) {
            respond(503, RequestRouter.RETRY_AFTER_MS, 0);
        } else {
            router.counters().repeatsAnswered++;
            pass(response);
        }
    }

    void startStreaming(HostExchange exchange) {
        streamingExchange = exchange;
        client.startStreaming(exchange.streamingResponse());
    }

    /** More of a streamed answer, whose bytes are taken over; false: the client cannot take more now. */
    boolean onContent(ByteBuf bytes) {
        if (client == null) {
            bytes.release();
            return true;
        }
        return client.writeMore(bytes);
    }

    void finishStreaming() {
        streamingExchange = null;
        if (client != null) {
            detachClient().finishStreaming();
        }
    }

    void abort() {
        streamingExchange = null;
        if (client != null) {
            router.counters().failed++;
            detachClient().abort();
        }
    }

    // ---- Answers of our own ---------------------------------------------------------------------
    /** {@code instances}: to how many it was to be sent, for the log. */
    void respond(int status, int retryAfterMs, int instances) {
        boolean refused = status == 503 || status == 429;
        count(status);
        if (!refused) {
            logFailure(status, instances);
        }
        detachClient()
                .writeOwnResponse(
                        status,
                        code(status),
                        !refused ? -1 : retryAfterMs < 0 ? RequestRouter.RETRY_AFTER_MS : retryAfterMs,
                        id,
                        clientRequest.isHeadRequest());
    }

    private void count(int status) {
        RequestCounters counters = router.counters();
        counters.repeatsInWork += status == 409 ? 1 : 0;
        counters.unavailable += status == 503 ? 1 : 0;
        counters.overQuota += status == 429 ? 1 : 0;
        counters.timedOut += status == 504 ? 1 : 0;
        counters.failed += status == 502 ? 1 : 0;
    }

    private void logFailure(int status, int instances) {
        router.rateLimitedLog()
                .info(router.now(), "gave-up")
                .with("status", status)
                .with("id", id)
                .with("service", service)
                .with("hosts", instances)
                .with("took", router.now() - clientRequest.receivedAtMs())
                .log();
    }

    private static String code(int status) {
        return switch (status) {
            case 409 -> "proxy.operation-in-work";
            case 429 -> "proxy.over-quota";
            case 503 -> "proxy.no-place";
            case 504 -> "proxy.out-of-time";
            default -> "proxy.host-failed";
        };
    }
}
