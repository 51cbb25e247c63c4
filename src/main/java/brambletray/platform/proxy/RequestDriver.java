package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.HedgeDelay;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Carries out what a {@link RequestLifecycle} wants, and passes events to it: between one client, the slot broker and
 * the connections to instances.
 */
final class RequestDriver implements RequestActions {
    private final RequestRouter router;
    private final ClientRequest clientRequest;
    private final String id;
    private final RequestPlan plan;
    private final int maxConnections;
    private final RequestLifecycle lifecycle;
    private final HedgeDelay hedgeDelay;
    private final RequestPreparation preparation;
    private final List<HostExchange> exchanges = new ArrayList<>(2);
    /** Null once it has its answer or is gone. */
    private ClientConnection client;
    /** Of an earlier attempt of the operation; null: none. */
    private RecordedAnswer recordedAnswer;
    /** Where the answer comes from that is given on as it comes. */
    private HostExchange streamingExchange;

    private Future<?> timer;
    private long timerAtMs;
    private boolean bodyReleased = true;
    private boolean finished;

    RequestDriver(
            RequestRouter router,
            ClientConnection client,
            ClientRequest clientRequest,
            String id,
            RequestPlan plan,
            int maxConnections) {
        this.router = router;
        this.client = client;
        this.clientRequest = clientRequest;
        this.id = id;
        this.plan = plan;
        this.maxConnections = maxConnections;
        this.hedgeDelay = router.hedgeDelay(plan.service());
        this.preparation =
                new RequestPreparation(plan, router.quotaGate(), router.operationGate(), new PreparationListener());
        this.lifecycle = new RequestLifecycle(
                plan, this, hedgeDelay::delayMs, router::nextRequestId, router.edge(), router.zone(), router.now());
    }

    void start() {
        lifecycle.start(router.now());
        afterEvent();
    }

    // ---- From the client ------------------------------------------------------------------------
    /** The client is gone; nobody reads what still comes. */
    void onClientGone() {
        if (client != null) {
            router.counters().clientsGone++;
            clientForResponse();
            onClientWritable();
            lifecycle.onClientGone(router.now());
            afterEvent();
        }
    }

    /** The process ends: the client is answered now unless its answer has begun. */
    void answerNow() {
        lifecycle.answerNow(router.now());
        afterEvent();
    }

    /** The client can take more of an answer. */
    void onClientWritable() {
        if (streamingExchange != null) {
            streamingExchange.resume();
        }
    }

    /** The client, for its last word. */
    private ClientConnection clientForResponse() {
        ClientConnection to = client;
        client = null;
        router.onAnswered();
        return to;
    }

    // ---- Time -----------------------------------------------------------------------------------
    /** After each event: the next timer, and what is to be let go of. */
    private void afterEvent() {
        if (lifecycle.isSettled()) {
            releaseBody();
        }
        if (lifecycle.isOver()) {
            if (!finished) {
                finished = true;
                preparation.onOver(lifecycle.runState());
                router.onFinished();
            }
            stopTimer();
            return;
        }
        long due = lifecycle.nextDueMs();
        if (timer == null || timerAtMs > due) {
            stopTimer();
            timerAtMs = due;
            timer = router.machine()
                    .loop()
                    .schedule(this::tick, Math.max(0, due - router.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        timer = null;
        lifecycle.tick(router.now());
        afterEvent();
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void releaseBody() {
        if (bodyReleased) {
            bodyReleased = false;
            int bytes = clientRequest.body().readableBytes();
            clientRequest.release();
            router.memoryBudget().release(bytes);
        }
        for (int i = 0; i < exchanges.size(); i++) {
            exchanges.get(i).releaseResponse();
        }
    }

    // ---- RequestActions -------------------------------------------------------------------------
    @Override
    public void prepare() {
        preparation.start();
    }

    @Override
    public int cancelPreparation() {
        return preparation.cancel();
    }

    private final class PreparationListener implements RequestPreparation.Listener {
        @Override
        public void onPrepared() {
            lifecycle.onPrepared(router.now());
            afterEvent();
        }

        @Override
        public void onRejected(int status, int retryAfterMs) {
            lifecycle.onPreparationRejected(status, retryAfterMs);
            afterEvent();
        }

        @Override
        public void onRepeatAnswered(RecordedAnswer answer) {
            recordedAnswer = answer;
            lifecycle.onRepeatAnswered();
            afterEvent();
        }
    }

    @Override
    public void passRecordedAnswer() {
        HostResponse response = recordedAnswer.toResponse(id, clientRequest.head(), router.memoryBudget());
        if (response == null) {
            respond(503, RequestRouter.RETRY_AFTER_MS);
        } else {
            router.counters().repeatsAnswered++;
            clientForResponse().writeResponse(response);
        }
    }

    @Override
    public void requestSlot(SlotRequest request) {
        router.counters().slotRequests++;
        router.counters().retries += request.retry() && !request.hedge() ? 1 : 0;
        router.broker().requestSlot(request, new SlotRequester() {
            @Override
            public void onGranted(SlotGrant grant) {
                lifecycle.onGranted(grant, router.now());
                afterEvent();
            }

            @Override
            public void onRefused(int retryAfterMs) {
                router.counters().hedgesRefused += request.hedge() ? 1 : 0;
                lifecycle.onRefused(request.id(), retryAfterMs, router.now());
                afterEvent();
            }
        });
    }

    @Override
    public void cancelSlotRequest(long requestId) {
        router.broker().cancelRequest(requestId);
    }

    @Override
    public void sendToInstance(Attempt attempt, long hostDeadlineMs) {
        HostExchange exchange = new HostExchange(this, attempt, hostDeadlineMs, permit(attempt));
        attempt.tag = exchange;
        exchanges.add(exchange);
        router.connectionPools().send(exchange);
    }

    private SendPermit permit(Attempt attempt) {
        if (!plan.isLimited()) {
            return SendPermit.UNLIMITED;
        }
        QuotaGate.Right right = preparation.takeRight();
        return new SendPermit(router.quotaGate(), plan.tenant(), right, new SendPermit.Events() {
            @Override
            public void onPermitted() {
                router.connectionPools().send((HostExchange) attempt.tag);
            }

            @Override
            public void onRejected(int status, int retryAfterMs) {
                lifecycle.onSendRejected(attempt, status, retryAfterMs, router.now());
                afterEvent();
            }
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        ((HostExchange) attempt.tag).cancel(router.connectionPools());
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs) {
        router.counters().countOutcome(outcome);
        router.broker().releaseSlot(grant, outcome, durationMs);
    }

    @Override
    public void recordResponseTime(int ms) {
        hedgeDelay.add(ms);
    }

    @Override
    public void passResponse(Attempt attempt) {
        countPassed(attempt);
        clientForResponse().writeResponse(((HostExchange) attempt.tag).takeResponse());
    }

    @Override
    public void startStreaming(Attempt attempt) {
        countPassed(attempt);
        streamingExchange = (HostExchange) attempt.tag;
        client.startStreaming(streamingExchange.streamingResponse());
    }

    private void countPassed(Attempt attempt) {
        router.counters().answeredByInstances++;
        router.counters().hedgesWon += attempt.hedge ? 1 : 0;
    }

    @Override
    public void finishStreaming() {
        streamingExchange = null;
        if (client != null) {
            clientForResponse().finishStreaming();
        }
    }

    @Override
    public void abortClient() {
        streamingExchange = null;
        if (client != null) {
            router.counters().failed++;
            clientForResponse().abort();
        }
    }

    @Override
    public void respond(int status, int retryAfterMs) {
        boolean refused = status == 503 || status == 429;
        router.counters().repeatsInWork += status == 409 ? 1 : 0;
        router.counters().unavailable += status == 503 ? 1 : 0;
        router.counters().overQuota += status == 429 ? 1 : 0;
        router.counters().timedOut += status == 504 ? 1 : 0;
        router.counters().failed += status == 502 ? 1 : 0;
        if (!refused) {
            router.rateLimitedLog()
                    .info(router.now(), "gave-up")
                    .with("status", status)
                    .with("id", id)
                    .with("service", plan.service())
                    .with("hosts", exchanges.size())
                    .with("took", router.now() - clientRequest.receivedAtMs())
                    .log();
        }
        clientForResponse()
                .writeOwnResponse(
                        status,
                        code(status),
                        !refused ? -1 : retryAfterMs < 0 ? RequestRouter.RETRY_AFTER_MS : retryAfterMs,
                        id,
                        clientRequest.head());
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

    // ---- From hosts -----------------------------------------------------------------------------
    ClientRequest clientRequest() {
        return clientRequest;
    }

    String id() {
        return id;
    }

    boolean requiresOpenConnection() {
        return !plan.idempotent();
    }

    int maxConnections() {
        return maxConnections;
    }

    MemoryBudget memoryBudget() {
        return router.memoryBudget();
    }

    void onConnected(Attempt attempt) {
        if (attempt.grant.booting()) {
            router.broker().onInstanceUp(attempt.grant);
        }
    }

    void onSent(Attempt attempt) {
        router.counters().sends++;
        router.counters().hedges += attempt.hedge ? 1 : 0;
        lifecycle.onSent(attempt, router.now());
        afterEvent();
    }

    void onUnreachable(Attempt attempt) {
        lifecycle.onUnreachable(attempt, router.now());
        afterEvent();
    }

    boolean onStreaming(Attempt attempt) {
        boolean wanted = lifecycle.onStreaming(attempt, router.now());
        afterEvent();
        return wanted;
    }

    boolean onContent(ByteBuf bytes) {
        if (client == null) {
            bytes.release();
            return true;
        }
        return client.writeMore(bytes);
    }

    boolean wasSentOn(HostConnection connection) {
        for (int i = 0; i < exchanges.size(); i++) {
            if (exchanges.get(i).usedConnection(connection)) {
                return true;
            }
        }
        return false;
    }

    /** Whether its byte may still go out now. */
    boolean isStillWanted(Attempt attempt) {
        if (lifecycle.nextDueMs() <= router.now()) {
            lifecycle.tick(router.now());
            afterEvent();
        } else if (!preparation.allowsSending()) {
            answerNow();
        }
        return attempt.active;
    }

    /** {@code response}: null where there is none that may be passed on. */
    void onEnded(Attempt attempt, AttemptOutcome outcome, boolean withheld, HostResponse response) {
        if (response != null) {
            preparation.onHostAnswer(response);
        }
        lifecycle.onEnded(attempt, outcome, withheld, router.now());
        afterEvent();
    }
}
